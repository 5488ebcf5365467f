package hostedsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// engine models a prefill or a decode engine: memory in tokens, slots, prefills one
// after the other, and streams that slow each other down.
type engine struct {
	world      *World
	id         core.UpstreamID
	dc         core.DataCentreName
	stage      catalog.Stage
	up         bool
	registered bool
	born       int64
	slow       float64
	busyUntil  core.Instant // of the prefills
	caches     map[string]int
	holds      map[string]hold
	named      int
	streams    []*stream
	waiting    []*stream // preempted, the oldest first
}

type hold struct {
	tokens  int
	expires core.Instant
}

// stream is a request that a decode engine runs.
type stream struct {
	call   *call
	place  int // tokens held for it
	used   int
	events int // still to come
	last   core.Instant
	pause  time.Duration
}

func (w *World) addEngine(id core.UpstreamID, dc core.DataCentreName, stage catalog.Stage) {
	w.engines[id] = &engine{
		world: w, id: id, dc: dc, stage: stage, up: true, registered: true, born: 1, slow: 1,
		caches: map[string]int{}, holds: map[string]hold{},
	}
}

// toEngine lets run happen at an engine that is up and reached.
func (w *World) toEngine(one *instance, id core.UpstreamID, run func(*engine)) {
	e := w.engines[id]
	if e == nil || !w.reaches(one.member.DataCentre, e.dc) {
		return
	}
	w.after(w.transit(one.member.DataCentre, e.dc), func() {
		if e.up {
			run(e)
		}
	})
}

func (w *World) takeHold(one *instance, q router.AcquireHold) {
	reply := router.HoldResult{Request: q.Request, Attempt: q.Attempt, Upstream: q.Upstream, Addr: q.Addr, Outcome: router.HoldUnreachable}
	e := w.engines[q.Upstream]
	if !w.reaches(one.member.DataCentre, e.dc) {
		w.after(lostCall, func() { w.step(one, reply) })
		return
	}
	transit := w.transit(one.member.DataCentre, e.dc)
	w.after(transit, func() {
		if e.up {
			reply.Outcome = router.HoldFull
			if e.fits(q.Tokens) {
				e.named++
				reply.Outcome, reply.Hold = router.HoldGranted, fmt.Sprintf("%s/%d", e.id, e.named)
				e.holds[reply.Hold] = hold{tokens: q.Tokens, expires: w.now.Add(q.Term)}
			}
		}
		w.after(transit, func() { w.step(one, reply) })
	})
}

// memory returns the tokens that are held or used.
func (e *engine) memory() int {
	total := 0
	for name, h := range e.holds {
		if e.world.now >= h.expires {
			delete(e.holds, name)
			continue
		}
		total += h.tokens
	}
	for _, s := range e.streams {
		total += max(s.place, s.used)
	}
	return total
}

func (e *engine) fits(tokens int) bool {
	return e.memory()+tokens <= e.world.x.Engine.MemoryTokens && len(e.streams)+len(e.holds) < e.world.x.Engine.Slots
}

func (e *engine) dropHold(name string) { delete(e.holds, name) }

// read returns the time that a prompt takes behind those that wait.
func (e *engine) read(tokens int) time.Duration {
	took := seconds(float64(tokens) / e.world.x.Engine.PrefillTokensPerSecond * e.slow)
	e.busyUntil = max(e.busyUntil, e.world.now).Add(took)
	e.world.result.PromptTokens += int64(tokens)
	return e.busyUntil.Sub(e.world.now)
}

func (w *World) startPrefill(one *instance, q router.StartPrefill) {
	e := w.engines[q.Upstream]
	w.begin(one, q.Request, q.Attempt, q.Upstream, e.dc, func() bool { return e.up }, func(c *call) {
		born := e.born
		w.after(q.ResponseTimeout, func() { w.fail(c, attempts.FailStalled, true, false) })
		w.after(e.read(c.request.prompt), func() {
			if !e.up || e.born != born || c.ended {
				return
			}
			e.named++
			kv := fmt.Sprintf("%s/kv%d", e.id, e.named)
			e.caches[kv] = c.request.prompt
			w.after(500*time.Millisecond, func() { delete(e.caches, kv) })
			w.answer(c, e.dc, router.PrefillDone{Request: c.request.id, Attempt: c.attempt, Upstream: e.id, Addr: q.URL, KV: kv})
		})
	})
}

func (w *World) startDecode(one *instance, q router.StartDecode) {
	e := w.engines[q.Upstream]
	w.begin(one, q.Request, q.Attempt, q.Upstream, e.dc, func() bool { return e.up }, func(c *call) {
		h, held := e.holds[q.Hold]
		delete(e.holds, q.Hold)
		if q.KV != "" {
			source := w.engines[core.UpstreamID(q.SourceURL)]
			if source == nil || source.caches[q.KV] == 0 {
				w.fail(c, attempts.FailKVGone, true, true)
				return
			}
			delete(source.caches, q.KV)
		}
		s := &stream{call: c, place: h.tokens, used: c.request.prompt + c.request.relayed*w.x.Engine.EventTokens, events: c.request.events - c.request.relayed}
		if !held && !e.fits(s.used) {
			w.fail(c, attempts.FailFull, true, true)
			return
		}
		w.ran(c)
		c.free = func() { e.remove(s) }
		e.streams = append(e.streams, s)
		if q.KV == "" {
			w.after(e.read(s.used), func() { e.next(s) })
			return
		}
		w.after(withinRegion, func() { e.next(s) })
	})
}

// next plans the next event of a stream.
func (e *engine) next(s *stream) {
	settings := e.world.x.Engine
	took := millis((settings.EventMS + settings.EventMSPerStream*float64(len(e.streams))) * e.slow)
	e.world.after(took, func() { e.event(s) })
}

func (e *engine) event(s *stream) {
	if s.call.ended || !slices.Contains(e.streams, s) {
		return // preempted, crashed or given up
	}
	w, c := e.world, s.call
	s.used += w.x.Engine.EventTokens
	s.events--
	w.relayed(c, e.dc, s)
	if s.events <= 0 {
		e.remove(s)
		w.answer(c, e.dc, router.ResponseCompleted{Request: c.request.id, Attempt: c.attempt, Status: 200, LongestPause: s.pause})
		return
	}
	for e.memory() > w.x.Engine.MemoryTokens && len(e.streams) > 1 {
		e.preempt()
	}
	e.next(s)
}

// preempt puts the latest stream back. It reads its tokens again later.
func (e *engine) preempt() {
	last := e.streams[len(e.streams)-1]
	e.streams = e.streams[:len(e.streams)-1]
	e.waiting = append(e.waiting, last)
	e.world.result.Preempted++
}

// remove ends a stream, and lets those that were put back go on.
func (e *engine) remove(s *stream) {
	same := func(other *stream) bool { return other == s }
	e.streams = slices.DeleteFunc(e.streams, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	for len(e.waiting) > 0 && e.fits(max(e.waiting[0].place, e.waiting[0].used)) {
		back := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.streams = append(e.streams, back)
		e.world.after(e.read(back.used), func() { e.next(back) })
	}
}

// crash ends the engine and what it runs. Its entry vanishes a while later.
func (e *engine) crash() {
	e.up = false
	e.born++
	for _, s := range append(e.streams, e.waiting...) {
		e.world.fail(s.call, attempts.FailCrashed, true, false)
	}
	e.streams, e.waiting, e.busyUntil = nil, nil, 0
	clear(e.holds)
	clear(e.caches)
	born := e.born
	e.world.after(deregistered, func() {
		if !e.up && e.born == born {
			e.registered = false
			e.world.publish()
		}
	})
}

func (e *engine) restart() {
	e.up, e.registered = true, true
	e.world.publish()
}

// plainUpstream models an Upstream of the plain service: slots and a queue.
type plainUpstream struct {
	world   *World
	id      core.UpstreamID
	dc      core.DataCentreName
	running int
	queue   []func()
}

func (w *World) startCall(one *instance, q router.StartCall) {
	p := w.plain[q.Upstream]
	w.begin(one, q.Request, q.Attempt, q.Upstream, p.dc, func() bool { return true }, func(c *call) {
		w.ran(c)
		p.queue = append(p.queue, func() {
			w.after(millis(w.x.Plain.WorkMS), func() {
				w.answer(c, p.dc, router.ResponseCompleted{Request: c.request.id, Attempt: c.attempt, Status: 200})
				p.running--
				p.next()
			})
		})
		p.next()
	})
}

func (p *plainUpstream) next() {
	for len(p.queue) > 0 && p.running < p.world.x.Plain.Slots {
		run := p.queue[0]
		p.queue = p.queue[1:]
		p.running++
		run()
	}
}
