package hostedsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// engine models a prefill or a decode engine: memory in tokens, slots, sequential
// prefills, and streams that slow each other down.
type engine struct {
	sim        *Simulation
	id         core.UpstreamID
	dc         core.DataCentreName
	stage      catalog.Stage
	up         bool
	registered bool
	generation int64
	slowFactor float64
	busyUntil  core.Instant // end of the queued prefills
	prefills   []prefill    // not yet started
	prefilling bool
	caches     map[string]int
	held       hostplatform.HeldParts
	holds      map[string]hold
	lastID     int
	streams    []*stream
	preempted  []*stream // first preempted first
}

type hold struct {
	tokens    int
	expiresAt core.Instant
}

// stream is a request that a decode engine runs.
type stream struct {
	call         *call
	priority     int
	urgency      *int
	heldTokens   int // memory reserved by the hold
	usedTokens   int
	eventsLeft   int // not yet emitted
	lastEventAt  core.Instant
	longestPause time.Duration
}

func (w *Simulation) addEngine(id core.UpstreamID, dc core.DataCentreName, stage catalog.Stage) {
	factor := 1.0
	if durations := w.x.EngineDurations; len(durations) > 0 {
		factor = durations[len(w.engines)%len(durations)]
	}
	w.engines[id] = &engine{
		sim: w, id: id, dc: dc, stage: stage, up: true, registered: true, generation: 1, slowFactor: factor,
		caches: map[string]int{}, holds: map[string]hold{},
	}
}

// sendToEngine runs a function at an engine after the transit delay, if the engine is
// reachable and up.
func (w *Simulation) sendToEngine(inst *instance, id core.UpstreamID, run func(*engine)) {
	e := w.engines[id]
	if e == nil || !w.reachable(inst.member.DataCentre, e.dc) {
		return
	}
	w.after(w.transit(inst.member.DataCentre, e.dc), func() {
		if e.up {
			run(e)
		}
	})
}

func (w *Simulation) acquireHold(inst *instance, q router.AcquireHold) {
	reply := router.HoldResult{Request: q.Request, Attempt: q.Attempt, Upstream: q.Upstream, Addr: q.Addr, Outcome: router.HoldUnreachable}
	e := w.engines[q.Upstream]
	if !w.reachable(inst.member.DataCentre, e.dc) {
		w.after(connectTimeout, func() { w.step(inst, reply) })
		return
	}
	transit := w.transit(inst.member.DataCentre, e.dc)
	sentAt := w.now
	w.after(transit, func() {
		answered := e.up
		var stated answer
		if e.up {
			w.recordArrival(q.Upstream, inst, w.callerSentAt(q.Request))
			stated = w.answerOf(q.Upstream)
			reply.Outcome = router.HoldFull
			switch {
			case w.rejects(q.Upstream):
				stated = w.refusalTo(q.Upstream, inst)
			case e.fits(q.Tokens):
				e.lastID++
				reply.Outcome, reply.Hold = router.HoldGranted, fmt.Sprintf("%s/%d", e.id, e.lastID)
				e.holds[reply.Hold] = hold{tokens: q.Tokens, expiresAt: w.now.Add(q.Term)}
			}
		}
		w.after(transit, func() {
			if answered {
				w.deliverAnswer(inst, q.Upstream, sentAt, stated, false) // no answer to a hold shows the end of a limit
			}
			w.step(inst, reply)
		})
	})
}

// usedTokens returns the memory in use, including holds. It drops expired holds.
func (e *engine) usedTokens() int {
	total := 0
	for name, h := range e.holds {
		if e.sim.now >= h.expiresAt {
			delete(e.holds, name)
			continue
		}
		total += h.tokens
	}
	for _, s := range e.streams {
		total += max(s.heldTokens, s.usedTokens)
	}
	return total
}

func (e *engine) fits(tokens int) bool {
	return e.usedTokens()+tokens <= e.sim.x.Engine.MemoryTokens && len(e.streams)+len(e.holds) < e.sim.x.Engine.Slots
}

func (e *engine) releaseHold(name string) { delete(e.holds, name) }

// enqueuePrefill queues the prefill of a prompt. done runs when it is complete. Without routine streams
// all requests are equally urgent and the time is known from the start.
func (e *engine) enqueuePrefill(tokens int, parts []promptcache.Part, urgency *int, done func()) {
	tokens -= e.hold(parts)
	if e.sim.x.Routine.PerSecond > 0 {
		if e.sim.x.IgnoreUrgency {
			urgency = nil
		}
		e.queuePrefill(tokens, urgency, done)
		return
	}
	delay := seconds(float64(tokens) / e.sim.x.Engine.PrefillTokensPerSecond * e.slowFactor)
	e.busyUntil = max(e.busyUntil, e.sim.now).Add(delay)
	e.sim.result.PromptTokens += int64(tokens)
	e.sim.after(e.busyUntil.Sub(e.sim.now), done)
}

func (w *Simulation) startPrefill(inst *instance, q router.StartPrefill) {
	e := w.engines[q.Upstream]
	w.openCall(inst, q.Request, q.Attempt, q.Upstream, e.dc, func() bool { return e.up }, func(c *call) {
		generation := e.generation
		w.after(q.ResponseTimeout, func() { w.failCall(c, attempts.FailStalled, true, false) })
		e.enqueuePrefill(c.caller.promptTokens, c.caller.parts, q.Urgency, func() {
			if !e.up || e.generation != generation || c.ended {
				return
			}
			e.lastID++
			kv := fmt.Sprintf("%s/kv%d", e.id, e.lastID)
			e.caches[kv] = c.caller.promptTokens
			w.after(w.x.Engine.kvTime(), func() { delete(e.caches, kv) })
			w.endCall(c, e.dc, router.PrefillDone{Request: c.caller.id, Attempt: c.attempt, Upstream: e.id, Addr: q.URL, KV: kv})
		})
	})
}

func (w *Simulation) startDecode(inst *instance, q router.StartDecode) {
	e := w.engines[q.Upstream]
	w.openCall(inst, q.Request, q.Attempt, q.Upstream, e.dc, func() bool { return e.up }, func(c *call) {
		h, held := e.holds[q.Hold]
		delete(e.holds, q.Hold)
		if q.KV != "" {
			source := w.engines[core.UpstreamID(q.SourceURL)]
			if source == nil || source.caches[q.KV] == 0 {
				w.failCall(c, attempts.FailKVGone, true, true)
				return
			}
			delete(source.caches, q.KV)
		}
		s := &stream{call: c, priority: priorityOf(q.Urgency), urgency: q.Urgency, heldTokens: h.tokens, usedTokens: c.caller.promptTokens + c.caller.relayedEvents*w.x.Engine.EventTokens, eventsLeft: c.caller.eventCount - c.caller.relayedEvents}
		if !held && !e.fits(s.usedTokens) {
			w.failCall(c, attempts.FailFull, true, true)
			return
		}
		w.onExecution(c)
		c.release = func() { e.removeStream(s) }
		e.streams = append(e.streams, s)
		if q.KV == "" {
			e.enqueuePrefill(s.usedTokens, c.caller.parts, s.urgency, func() { e.scheduleEvent(s) })
			return
		}
		w.after(withinRegionDelay, func() { e.scheduleEvent(s) })
	})
}

// scheduleEvent schedules the next event of a stream.
func (e *engine) scheduleEvent(s *stream) {
	settings := e.sim.x.Engine
	delay := millis((settings.EventMS + settings.EventMSPerStream*float64(len(e.streams))) * e.slowFactor)
	e.sim.after(delay, func() { e.onEvent(s) })
}

func (e *engine) onEvent(s *stream) {
	if s.call.ended || !slices.Contains(e.streams, s) {
		return // preempted, crashed or canceled
	}
	w, c := e.sim, s.call
	s.usedTokens += w.x.Engine.EventTokens
	s.eventsLeft--
	w.onStreamEvent(c, e.dc, s)
	if s.eventsLeft <= 0 {
		e.removeStream(s)
		w.endCall(c, e.dc, router.ResponseCompleted{Request: c.caller.id, Attempt: c.attempt, Status: 200, LongestPause: s.longestPause})
		return
	}
	for e.usedTokens() > w.x.Engine.MemoryTokens && len(e.streams) > 1 {
		e.preempt()
	}
	e.scheduleEvent(s)
}

// preempt moves the most recent stream to the preempted list. Its tokens are prefilled
// again when it resumes.
func (e *engine) preempt() {
	index := len(e.streams) - 1
	if e.sim.x.Routine.PerSecond > 0 && !e.sim.x.IgnoreUrgency {
		index = e.leastUrgent()
	}
	last := e.streams[index]
	e.streams = slices.Delete(e.streams, index, index+1)
	e.preempted = append(e.preempted, last)
	e.sim.result.Preemptions++
}

// removeStream ends a stream and resumes preempted streams that fit.
func (e *engine) removeStream(s *stream) {
	same := func(other *stream) bool { return other == s }
	e.streams = slices.DeleteFunc(e.streams, same)
	e.preempted = slices.DeleteFunc(e.preempted, same)
	for len(e.preempted) > 0 && e.fits(max(e.preempted[0].heldTokens, e.preempted[0].usedTokens)) {
		resumed := e.preempted[0]
		e.preempted = e.preempted[1:]
		e.streams = append(e.streams, resumed)
		e.enqueuePrefill(resumed.usedTokens, resumed.call.caller.parts, resumed.urgency, func() { e.scheduleEvent(resumed) })
	}
}

// crash ends the engine and all of its work. Its catalogue entry is removed after
// deregistrationDelay, unless it restarts first.
func (e *engine) crash() {
	e.up = false
	e.generation++
	e.sim.endLifetime(e.id)
	for _, s := range append(e.streams, e.preempted...) {
		e.sim.failCall(s.call, attempts.FailCrashed, true, false)
	}
	e.streams, e.preempted, e.busyUntil = nil, nil, 0
	e.prefills, e.prefilling = nil, false
	clear(e.holds)
	clear(e.caches)
	e.held = nil
	generation := e.generation
	e.sim.after(deregistrationDelay, func() {
		if !e.up && e.generation == generation {
			e.registered = false
			e.sim.publish()
		}
	})
}

func (e *engine) restart() {
	e.up, e.registered = true, true
	e.sim.publish()
}

// plainUpstream models an Upstream of the plain service with slots and an unbounded FIFO queue.
type plainUpstream struct {
	sim     *Simulation
	id      core.UpstreamID
	dc      core.DataCentreName
	running int
	queue   []func()
	// generation counts the starts.
	generation int64
	slowFactor float64
}

func (w *Simulation) startCall(inst *instance, q router.StartCall) {
	p := w.plain[q.Upstream]
	w.openCall(inst, q.Request, q.Attempt, q.Upstream, p.dc, func() bool { return true }, func(c *call) {
		w.onExecution(c)
		p.queue = append(p.queue, func() {
			w.after(p.workTime(), func() {
				w.endCall(c, p.dc, router.ResponseCompleted{Request: c.caller.id, Attempt: c.attempt, Status: 200})
				p.running--
				p.startQueued()
			})
		})
		p.startQueued()
	})
}

func (p *plainUpstream) startQueued() {
	for len(p.queue) > 0 && p.running < p.sim.x.Plain.Slots {
		run := p.queue[0]
		p.queue = p.queue[1:]
		p.running++
		run()
	}
}
