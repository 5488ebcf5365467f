package hostedsim

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// job is what a caller wants, over all of its attempts.
type job struct {
	account core.AccountID
	stream  bool
	load    Load
	dc      core.DataCentreName
	first   core.Instant // of the first attempt
	retries int
	prompt  int
	events  int
	hint    int
}

// attempt is one request of a caller.
type attempt struct {
	*job
	id      core.RequestID
	number  int
	at      *instance
	relayed int // events that the caller has
	runs    int
	charged bool
	began   core.Instant // the first event, 0 before
	lastAt  core.Instant
	paused  bool
}

// drive plans the arrivals of both kinds of request.
func (w *World) drive() {
	w.arrivals(w.x.Streams, true)
	w.arrivals(w.x.Calls, false)
}

// arrivals draws the next arrival at the highest rate and thins it to the present one.
func (w *World) arrivals(load Load, stream bool) {
	most := 1.0
	for _, fault := range w.x.Faults {
		if fault.Kind == FaultBurst {
			most *= max(1, fault.X)
		}
	}
	if load.PerSecond == 0 {
		return
	}
	total := 0.0
	for _, account := range w.x.Accounts {
		total += account.Share
	}
	end := w.start.Add(seconds(w.x.Seconds))
	var next func()
	next = func() {
		w.after(seconds(min(maxSeconds, w.rng.ExpFloat64()/(load.PerSecond*most))), func() {
			if w.now >= end {
				return
			}
			next()
			at := w.rng.Float64() * total * most
			for _, account := range w.x.Accounts {
				if at -= account.Share * w.load[account.Name]; at < 0 {
					w.arrive(account.Name, load, stream)
					return
				}
			}
		})
	}
	next()
}

func (w *World) arrive(account core.AccountID, load Load, stream bool) {
	j := &job{account: account, stream: stream, load: load, first: w.now, retries: load.Retries}
	j.dc = w.instances[w.rng.IntN(len(w.instances))].member.DataCentre
	if stream {
		j.prompt = w.around(load.PromptTokens)
		output := w.around(load.OutputTokens)
		j.events = max(1, output/w.x.Engine.EventTokens)
		j.hint = int(float64(output) * math.Exp(0.3*w.rng.NormFloat64()))
	}
	w.result.asked(w, j)
	w.send(j, 0)
}

// around draws from 0.3 to 1.7 times the mean.
func (w *World) around(mean int) int { return int(float64(mean) * (0.3 + 1.4*w.rng.Float64())) }

// send makes an attempt at an Instance of the caller's DataCentre, else at any.
func (w *World) send(j *job, relayed int) {
	var near, all []*instance
	for _, one := range w.instances {
		if !one.alive {
			continue
		}
		all = append(all, one)
		if one.member.DataCentre == j.dc {
			near = append(near, one)
		}
	}
	if len(near) == 0 {
		near = all
	}
	w.asked++
	a := &attempt{job: j, id: core.RequestID(fmt.Sprintf("q%d", w.asked)), number: w.asked, relayed: relayed}
	if len(near) == 0 {
		w.broke(a)
		return
	}
	a.at = near[w.rng.IntN(len(near))]
	w.jobs[a.id] = a
	key := keyOf(j.account)
	request := router.Request{
		ID: a.id, Host: host, Path: callPath, Key: &key, Deadline: w.now.Add(millis(j.load.TimeoutMS)),
	}
	binary.BigEndian.PutUint64(request.Fingerprint[:], uint64(w.asked))
	if j.stream {
		request.Path = streamPath
		request.PromptTokens, request.ExpectedOutput, request.HasTokenCounts = j.prompt, j.hint, true
		request.MaxOutputTokens = 2 * j.load.OutputTokens
	}
	at := a.at
	w.after(withinRegion, func() {
		if w.jobs[a.id] == a {
			w.step(at, router.RequestArrived{Request: request})
		}
	})
}

// relayed passes an event of a stream on to its caller.
func (w *World) relayed(c *call, dc core.DataCentreName, s *stream) {
	a := c.request
	if s.last != 0 {
		s.pause = max(s.pause, w.now.Sub(s.last))
	}
	s.last = w.now
	first := a.began == 0
	if first {
		a.began = w.now
	} else if a.load.PauseMS > 0 && w.now.Sub(a.lastAt) > millis(a.load.PauseMS) {
		a.paused = true
	}
	a.lastAt = w.now
	a.relayed++
	if first {
		w.after(w.transit(dc, c.owner.member.DataCentre), func() {
			w.step(c.owner, router.FirstToken{Request: a.id, Attempt: c.attempt})
		})
	}
}

// ran counts a run at an Upstream, as the platform does.
func (w *World) ran(c *call) {
	a := c.request
	a.runs++
	if a.runs > 1 && !a.load.Repeatable {
		w.result.breach("%s: ran %d times", a.id, a.runs)
	}
	if !a.charged {
		a.charged = true
		tokens := int64(callTokens)
		if a.stream {
			tokens = int64(a.prompt + 2*a.load.OutputTokens)
		}
		w.result.used(a.account, w.now, tokens)
	}
}

func (w *World) refused(id core.RequestID, refusal *core.Refusal) {
	a := w.jobs[id]
	if a == nil {
		return
	}
	delete(w.jobs, id)
	if refusal.Ran == core.NotRun && a.runs > 0 {
		w.result.breach("%s: refused as not run after %d runs", id, a.runs)
	}
	mayReturn := refusal.Ran == core.NotRun || a.load.Repeatable
	if a.retries > 0 && mayReturn && refusal.RetryAfter > 0 {
		a.retries--
		w.after(refusal.RetryAfter, func() { w.send(a.job, 0) })
		return
	}
	if refusal.Ran == core.NotRun {
		w.result.ended(w, a, outcomeRefused)
		return
	}
	w.result.ended(w, a, outcomeFailed)
}

func (w *World) completed(id core.RequestID) {
	a := w.jobs[id]
	if a == nil {
		return
	}
	delete(w.jobs, id)
	start := w.now
	if a.stream {
		start = a.began
	}
	if start.Sub(a.first) <= millis(a.load.TargetMS) && !a.paused {
		w.result.ended(w, a, outcomeOnTime)
		return
	}
	w.result.ended(w, a, outcomeLate)
}

// reconnect is the time in which a caller notices a broken connection.
const reconnect = 50 * time.Millisecond

// broke ends an attempt whose connection has broken.
func (w *World) broke(a *attempt) {
	delete(w.jobs, a.id)
	if a.retries > 0 && (a.load.Repeatable || a.at == nil) {
		a.retries--
		w.after(reconnect, func() { w.send(a.job, 0) })
		return
	}
	w.result.ended(w, a, outcomeFailed)
}
