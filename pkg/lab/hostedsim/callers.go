package hostedsim

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// job is one unit of a caller's work. A caller may send several requests for it.
type job struct {
	account      core.AccountID
	stream       bool
	path         string
	load         Load
	dc           core.DataCentreName
	firstSentAt  core.Instant // send time of the first request
	retriesLeft  int
	promptTokens int
	parts        []promptcache.Part // nil if the caller states none
	eventCount   int
	outputHint   int
}

// callerRequest is one request sent by a caller for a job.
type callerRequest struct {
	*job
	id            core.RequestID
	seq           int
	instance      *instance
	relayedEvents int // events received by the caller
	executions    int
	charged       bool
	firstEventAt  core.Instant // 0 before the first event
	lastEventAt   core.Instant
	pauseExceeded bool
	sentAt        core.Instant
}

// scheduleLoad schedules the arrivals of both kinds of request.
func (w *Simulation) scheduleLoad() {
	w.scheduleArrivals(w.x.Streams, streamPath)
	w.scheduleArrivals(w.x.Calls, callPath)
	w.scheduleArrivals(w.x.Routine, routinePath)
}

// scheduleArrivals generates a Poisson process by thinning: arrivals are drawn at the peak
// rate and accepted with the ratio of the current rate to it.
func (w *Simulation) scheduleArrivals(load Load, path string) {
	peak := 1.0
	for _, fault := range w.x.Faults {
		if fault.Kind == FaultBurst {
			peak *= max(1, fault.Factor)
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
		w.after(seconds(min(maxSeconds, w.rng.ExpFloat64()/(load.PerSecond*peak))), func() {
			if w.now >= end {
				return
			}
			next()
			point := w.rng.Float64() * total * peak
			for _, account := range w.x.Accounts {
				if point -= account.Share * w.loadFactor[account.Name]; point < 0 {
					w.startJob(account.Name, load, path)
					return
				}
			}
		})
	}
	next()
}

func (w *Simulation) startJob(account core.AccountID, load Load, path string) {
	stream := path != callPath
	j := &job{account: account, stream: stream, path: path, load: load, firstSentAt: w.now, retriesLeft: load.Retries}
	j.dc = w.instances[w.rng.IntN(len(w.instances))].member.DataCentre
	if stream {
		j.promptTokens = w.drawAround(load.PromptTokens)
		output := w.drawAround(load.OutputTokens)
		j.eventCount = max(1, output/w.x.Engine.EventTokens)
		j.outputHint = int(float64(output) * math.Exp(0.3*w.rng.NormFloat64()))
		w.drawParts(j)
	}
	w.result.countRequest(w, j)
	w.sendRequest(j, 0)
}

// drawAround draws uniformly from 0.3 to 1.7 times the mean.
func (w *Simulation) drawAround(mean int) int {
	return int(float64(mean) * (0.3 + 1.4*w.rng.Float64()))
}

// sendRequest sends a request to a live Instance in the caller's DataCentre, or to one in
// any DataCentre if that has none. relayed is the number of events the caller already has.
func (w *Simulation) sendRequest(j *job, relayed int) {
	var near, all []*instance
	for _, inst := range w.instances {
		if !inst.alive {
			continue
		}
		all = append(all, inst)
		if inst.member.DataCentre == j.dc {
			near = append(near, inst)
		}
	}
	if len(near) == 0 {
		near = all
	}
	w.requestCount++
	a := &callerRequest{job: j, id: core.RequestID(fmt.Sprintf("q%d", w.requestCount)), seq: w.requestCount, relayedEvents: relayed}
	if len(near) == 0 {
		w.onDisconnect(a)
		return
	}
	a.instance = near[w.rng.IntN(len(near))]
	if w.x.SingleEntry {
		a.instance = all[0]
	}
	a.sentAt = w.now
	w.requests[a.id] = a
	key := keyOf(j.account)
	request := router.Request{
		ID: a.id, Host: host, Path: j.path, Key: &key, Deadline: w.now.Add(millis(j.load.TimeoutMS)),
	}
	binary.BigEndian.PutUint64(request.Fingerprint[:], uint64(w.requestCount))
	if j.stream {
		request.PromptTokens, request.ExpectedOutput, request.HasTokenCounts = j.promptTokens, j.outputHint, true
		request.MaxOutputTokens = 2 * j.load.OutputTokens
		request.PromptParts = j.parts
	}
	inst := a.instance
	w.after(withinRegionDelay, func() {
		if w.requests[a.id] == a {
			w.step(inst, router.RequestArrived{Request: request})
		}
	})
}

// onStreamEvent delivers a stream event to the caller and reports the first one to the Router.
func (w *Simulation) onStreamEvent(c *call, dc core.DataCentreName, s *stream) {
	a := c.caller
	if s.lastEventAt != 0 {
		s.longestPause = max(s.longestPause, w.now.Sub(s.lastEventAt))
	}
	s.lastEventAt = w.now
	first := a.firstEventAt == 0
	if first {
		a.firstEventAt = w.now
	} else if a.load.PauseMS > 0 && w.now.Sub(a.lastEventAt) > millis(a.load.PauseMS) {
		a.pauseExceeded = true
	}
	a.lastEventAt = w.now
	a.relayedEvents++
	if first {
		stated := w.answerOf(c.up)
		w.after(w.transit(dc, c.owner.member.DataCentre), func() {
			w.deliverAnswer(c.owner, c.up, c.sentAt, stated, true)
			w.step(c.owner, router.FirstToken{Request: a.id, Attempt: c.attempt})
		})
	}
}

// onExecution counts an execution at an Upstream as the platform does: tokens are charged
// once per request.
func (w *Simulation) onExecution(c *call) {
	a := c.caller
	a.executions++
	if a.executions > 1 && !a.load.SafeToRetry {
		w.result.addViolation("%s: ran %d times", a.id, a.executions)
	}
	if !a.charged {
		a.charged = true
		tokens := int64(callTokens)
		if a.stream {
			tokens = int64(a.promptTokens + 2*a.load.OutputTokens)
		}
		w.result.recordUsage(a.account, w.now, tokens)
	}
}

func (w *Simulation) onRefusal(id core.RequestID, refusal *core.Refusal) {
	a := w.requests[id]
	if a == nil {
		return
	}
	delete(w.requests, id)
	if refusal.Ran == core.NotRun {
		w.result.RefusalDelays = append(w.result.RefusalDelays, w.now.Sub(a.sentAt))
	}
	if refusal.Ran == core.NotRun && a.executions > 0 {
		w.result.addViolation("%s: refused as not run after %d runs", id, a.executions)
	}
	mayRetry := refusal.Ran == core.NotRun || a.load.SafeToRetry
	if a.retriesLeft > 0 && mayRetry && refusal.RetryAfter > 0 {
		a.retriesLeft--
		w.after(refusal.RetryAfter, func() { w.sendRequest(a.job, 0) })
		return
	}
	if refusal.Ran == core.NotRun {
		w.result.countOutcome(w, a, outcomeRefused)
		return
	}
	w.result.countOutcome(w, a, outcomeFailed)
}

func (w *Simulation) onCompletion(id core.RequestID) {
	a := w.requests[id]
	if a == nil {
		return
	}
	delete(w.requests, id)
	start := w.now
	if a.stream {
		start = a.firstEventAt
	}
	w.result.Times[a.path] = append(w.result.Times[a.path], start.Sub(a.firstSentAt))
	if start.Sub(a.firstSentAt) <= millis(a.load.TargetMS) && !a.pauseExceeded {
		w.result.countOutcome(w, a, outcomeOnTime)
		return
	}
	w.result.countOutcome(w, a, outcomeLate)
}

// disconnectDelay is the time until a caller detects a broken connection.
const disconnectDelay = 50 * time.Millisecond

// onDisconnect ends a request whose connection was closed. The caller retries it if that
// is safe: the request may run more than once, or it never reached an Instance.
func (w *Simulation) onDisconnect(a *callerRequest) {
	delete(w.requests, a.id)
	if a.retriesLeft > 0 && (a.load.SafeToRetry || a.instance == nil) {
		a.retriesLeft--
		w.after(disconnectDelay, func() { w.sendRequest(a.job, 0) })
		return
	}
	w.result.countOutcome(w, a, outcomeFailed)
}
