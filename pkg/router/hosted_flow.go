package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
)

// hostedStage is what a hosted request waits for.
type hostedStage string

const (
	stageWaiting hostedStage = "waiting" // a place
	stageHold    hostedStage = "hold"    // the answer to an AcquireHold
	stagePrefill hostedStage = "prefill"
	stageRun     hostedStage = "run" // the answer of a decode engine or a plain service
)

// hostedFlow is the part of a flow that only hosted requests have.
type hostedFlow struct {
	route    *config.HostRoute
	service  *config.HostedService
	targetBy core.Instant
	deadline core.Instant
	stage    hostedStage

	decode  catalog.Upstream // also the Upstream of a plain call
	prefill catalog.Upstream
	hold    string
	// prefillDone is set once a prefill may have been accepted. A further one would
	// count as an Upstream of the request.
	prefillDone  bool
	prefillEnded core.Instant
	// arrivals counts the calls that may have reached an Upstream, runs those that
	// may have been run, unsent those that reached none.
	arrivals int
	runs     int
	unsent   int
	// kept says that the daemon has a failure that an Upstream answered.
	kept bool
}

// arrive checks a request and submits it for dispatch.
func (h *hosted) arrive(now core.Instant, q Request) {
	if _, exists := h.flows[q.ID]; exists {
		h.emit(Refuse{Request: q.ID, Refusal: core.NewRefusal(core.CodeNoCapacity, "a request with this id is in progress")})
		return
	}
	f := &flow{request: q, arrived: now, startBefore: core.Never, promptTokens: q.PromptTokens, hosted: &hostedFlow{stage: stageWaiting}}
	if refusal := h.authorize(f); refusal != nil {
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		// No account was asked for it, so it is not one that was refused inside its rate.
		h.emit(Observe{Observation: Observation{Account: f.accountID(), Service: f.service.Name, Code: refusal.Code}})
		h.record(now, "request", "refused", f, h.refusalDetail(refusal, "host="+q.Host+" path="+q.Path))
		return
	}
	if c := h.crashes[q.Fingerprint]; c != nil && c.count() >= crashLimit && now < c.until {
		refusal := core.NewRefusal(core.CodeNoCapacity, "the request has ended the Upstreams that ran it")
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		h.observe(f, refusal.Code, 0)
		h.record(now, "request", "refused", f, h.refusalDetail(refusal, fmt.Sprintf("crashes=%d", c.count())))
		return
	}
	if refusal := h.charge(now, f); refusal != nil {
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		h.observe(f, refusal.Code, 0)
		h.record(now, "quota", "refused", f, h.refusalDetail(refusal,
			fmt.Sprintf("tokens=%d level=%d peers_heard=%d", f.charge, h.quota.Level(now, f.account.ID), h.fleet.LiveCount()-1)))
		return
	}
	h.flows[q.ID] = f
	h.retry.CountRequest(now, f.hosted.service.Name)
	h.ends.Add(f.hosted.deadline.Add(endSlack), q.ID)
	h.submit(now, f)
}

func (h *hosted) refusalDetail(refusal *core.Refusal, inputs string) string {
	return fmt.Sprintf("code=%s ran=%s retry_after=%s config=%d %s", refusal.Code, refusal.Ran, refusal.RetryAfter, h.version(), inputs)
}

func (h *hosted) version() core.Version {
	if h.routing == nil {
		return 0
	}
	return h.routing.Version
}

// authorize finds the route, the service and the account of a request.
func (h *hosted) authorize(f *flow) *core.Refusal {
	q, host := &f.request, f.hosted
	f.service = &config.Service{}
	if h.routing == nil {
		return retryLater(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	var found bool
	if host.route, found = h.routing.Route(q.Host, q.Path); !found {
		return core.NewRefusal(core.CodeUnknownRoute, "no route matches the host and path")
	}
	if host.service, found = h.routing.Service(h.drawService(host.route)); !found {
		return core.NewRefusal(core.CodeNoUpstream, "the service of the route does not exist")
	}
	f.service = h.services[host.service.Name]
	if host.service.Engine == nil {
		f.route = &config.Route{Idempotent: host.route.Idempotent()}
	}
	host.deadline = min(q.Deadline, f.arrived.Add(host.route.Timeout))
	host.targetBy = f.arrived.Add(host.route.LatencyTarget)
	if host.route.Public || len(h.routing.Accounts) == 0 {
		return nil
	}
	if q.Key == nil {
		return core.NewRefusal(core.CodeMissingKey, "this route needs a key in the Authorization header")
	}
	account, found := h.routing.AccountOfKey(*q.Key)
	if !found {
		return core.NewRefusal(core.CodeUnknownKey, "the key is not known")
	}
	f.account = h.accountViews[account.ID]
	return nil
}

// drawService draws a service by the weights of the route.
func (h *hosted) drawService(route *config.HostRoute) core.ServiceName {
	total := 0
	for _, share := range route.ServiceShares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	n := h.Router.params.Rand.IntN(total)
	for _, share := range route.ServiceShares {
		if n -= share.Weight; n < 0 {
			return share.Service
		}
	}
	return ""
}

// charge takes the tokens of a request from its account.
func (h *hosted) charge(now core.Instant, f *flow) *core.Refusal {
	if f.account == nil {
		return nil
	}
	account, _ := h.routing.Account(f.account.ID)
	f.charge = account.DefaultCostTokens
	if f.request.HasTokenCounts && !account.CountRequests {
		f.charge = int64(f.request.PromptTokens) + int64(f.request.MaxOutputTokens)
	}
	admitted, wait := h.quota.Admit(now, account.ID, f.charge)
	if admitted {
		f.charged = true
		return nil
	}
	return retryLater(core.CodeOverRate, "the account is over its rate", max(wait, time.Second))
}

// placeMargin is the room that is held beyond the estimate of the output: the
// estimate is right at the median only.
const placeMargin = 1.6

// placeTokens is the memory to hold for a request.
func (f *flow) placeTokens() int {
	output := f.request.MaxOutputTokens
	if expected := f.request.ExpectedOutput; expected > 0 {
		output = min(output, int(float64(expected)*placeMargin))
	}
	return f.request.PromptTokens + output
}

func (h *hosted) submit(now core.Instant, f *flow) {
	host := f.hosted
	host.stage = stageWaiting
	job := dispatch.Job{
		ID:              f.request.ID,
		Service:         host.service.Name,
		IsModelRequest:  host.service.Engine != nil,
		MemoryTokens:    f.placeTokens(),
		PromptTokens:    f.request.PromptTokens,
		Priority:        h.rank(f),
		ArrivalTime:     f.arrived,
		LatencyDeadline: host.targetBy,
		Deadline:        host.deadline,
		AvoidUpstreams:  f.avoid,
		IsRetry:         host.arrivals+host.unsent > 0,
	}
	h.applyDispatch(now, h.dispatch.Submit(now, job))
}

// rank is the priority of the account, else that of the route.
func (h *hosted) rank(f *flow) int {
	if f.account != nil {
		if account, found := h.routing.Account(f.account.ID); found && account.HasPriority {
			return account.Priority
		}
	}
	return f.hosted.route.Priority
}

func (h *hosted) applyDispatch(now core.Instant, outputs []dispatch.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case dispatch.Hold:
			h.takeHold(now, o)
		case dispatch.Call:
			h.startCall(now, o)
		case dispatch.Refused:
			if f := h.flows[o.ID]; f != nil {
				h.refuseHosted(now, f, o.Refusal)
			}
		}
	}
}

func (h *hosted) nextAttempt(f *flow) core.AttemptID {
	h.attempt++
	f.attempt = core.AttemptID{Owner: h.self.Ref, Seq: h.attempt}
	return f.attempt
}

func (h *hosted) takeHold(now core.Instant, o dispatch.Hold) {
	f := h.flows[o.ID]
	if f == nil {
		return
	}
	f.hosted.stage = stageHold
	f.hosted.decode, _ = h.catalog.Get(o.Upstream)
	term := f.hosted.service.Engine.MaxHoldDuration
	if term == 0 || term > maxHold {
		term = maxHold
	}
	h.emit(AcquireHold{
		Request: o.ID, Attempt: h.nextAttempt(f), Upstream: o.Upstream, Addr: f.hosted.decode.Addr, Tokens: o.Tokens, Term: term,
	})
}

// holdReplied goes on with the prefill, or looks for another engine.
func (h *hosted) holdReplied(now core.Instant, e HoldResult) {
	f := h.flows[e.Request]
	if f == nil || f.attempt != e.Attempt || f.hosted.stage != stageHold {
		if e.Outcome == HoldGranted {
			h.emit(ReleaseHold{Upstream: e.Upstream, Addr: e.Addr, Hold: e.Hold})
		}
		return
	}
	switch e.Outcome {
	case HoldGranted:
		f.hosted.hold = e.Hold
		h.startPrefill(now, f)
		return
	case HoldUnreachable, HoldAddressReassigned:
		h.dispatch.MarkUnreachable(now, e.Upstream)
	}
	h.recordAt(now, "dispatch", "no place", f, e.Upstream, string(e.Outcome))
	f.hosted.stage = stageWaiting
	h.applyDispatch(now, h.dispatch.OnHoldRefused(now, e.Request))
}

// startPrefill sends the prompt to a prefill engine. Without one, and after an
// earlier prefill, the decode engine reads the prompt itself.
func (h *hosted) startPrefill(now core.Instant, f *flow) {
	if f.hosted.prefillDone {
		h.startDecode(now, f)
		return
	}
	id, expected, found := h.dispatch.OnHoldGranted(now, f.request.ID)
	if !found {
		h.startDecode(now, f)
		return
	}
	f.hosted.prefill, _ = h.catalog.Get(id)
	f.hosted.stage = stagePrefill
	h.emit(StartPrefill{
		Request: f.request.ID, Attempt: h.nextAttempt(f), Upstream: id, URL: f.hosted.prefill.Addr,
		At: now, NotAfter: f.hosted.deadline, Deadline: f.hosted.deadline, Priority: h.rank(f), Account: f.accountID(),
		ResponseTimeout: min(max(shortestPrefillWait, prefillWaits*expected), maxHold),
	})
	h.recordAt(now, "dispatch", "prefill", f, id, fmt.Sprintf("decode=%s place=%d waited=%s", f.hosted.decode.ID, f.placeTokens(), now.Sub(f.arrived)))
}

func (h *hosted) prefillDone(now core.Instant, e PrefillDone) {
	f := h.flowOf(e.Request, e.Attempt)
	if f == nil {
		h.emit(ReleaseKV{Upstream: e.Upstream, Addr: e.Addr, KV: e.KV})
		return
	}
	h.dispatch.OnPrefillDone(f.request.ID)
	h.dispatch.RecordOutcome(f.hosted.prefill.ID, true)
	f.kv = e.KV
	f.prefilled += f.promptTokens
	f.hosted.prefillDone = true
	f.hosted.prefillEnded = now
	f.hosted.arrivals++
	h.startDecode(now, f)
}

const (
	// A prefill that takes prefillWaits times as long as expected is given up while
	// the place at the decode engine is still held, but not before
	// shortestPrefillWait, since the load that peers report is late.
	prefillWaits        = 4
	shortestPrefillWait = 700 * time.Millisecond
	// silentEngine is the pause after which a stream goes on at another engine. An
	// event takes 60 ms at a busy engine; callers leave after about 2.4 s.
	silentEngine = time.Second
	// patientPause is the pause after which a stream that can't go on elsewhere is
	// given up. Callers leave sooner.
	patientPause = 5 * time.Second
)

// eventWithin is the longest pause of a stream: short while it may go on at another
// engine.
func (h *hosted) eventWithin(f *flow) time.Duration {
	if f.hosted.route.Resumable && f.hosted.runs < f.hosted.route.MaxUpstreams {
		return silentEngine
	}
	return patientPause
}

// flowOf returns the request whose current attempt is meant, else nil.
func (h *hosted) flowOf(id core.RequestID, attempt core.AttemptID) *flow {
	f := h.flows[id]
	if f == nil || f.attempt != attempt {
		return nil
	}
	return f
}

func (h *hosted) startDecode(now core.Instant, f *flow) {
	host := f.hosted
	host.stage = stageRun
	host.runs++
	if host.prefillEnded == 0 {
		host.prefillEnded = now
	}
	source := ""
	if f.kv != "" {
		source = host.prefill.Addr
	}
	h.emit(StartDecode{
		Request: f.request.ID, Attempt: h.nextAttempt(f), Upstream: host.decode.ID, URL: host.decode.Addr,
		SourceURL: source, KV: f.kv, Hold: host.hold, At: now, NotAfter: host.deadline, Deadline: host.deadline,
		Priority: h.rank(f), Account: f.accountID(), Resumable: host.route.Resumable,
		EventTimeout: h.eventWithin(f),
	})
	h.recordAt(now, "dispatch", "decode", f, host.decode.ID, fmt.Sprintf("kv=%t hold=%t run=%d", f.kv != "", host.hold != "", host.runs))
}

func (h *hosted) startCall(now core.Instant, o dispatch.Call) {
	f := h.flows[o.ID]
	if f == nil {
		return
	}
	f.hosted.stage = stageRun
	f.hosted.runs++
	f.hosted.decode, _ = h.catalog.Get(o.Upstream)
	h.emit(StartCall{
		Request: o.ID, Attempt: h.nextAttempt(f), Upstream: o.Upstream, URL: f.hosted.decode.Addr,
		NotAfter: f.hosted.deadline, Deadline: f.hosted.deadline, Priority: h.rank(f), Account: f.accountID(),
		Idempotent: f.hosted.route.Idempotent(), ResponseTimeout: h.answerWithin(f),
	})
	h.recordAt(now, "dispatch", "call", f, o.Upstream, fmt.Sprintf("run=%d waited=%s", f.hosted.runs, now.Sub(f.arrived)))
}

// answerWithin is the time after which a call that may run again is sent to
// another Upstream: its latency target, while another try is left.
func (h *hosted) answerWithin(f *flow) time.Duration {
	if f.hosted.route.Idempotent() && f.hosted.runs < f.hosted.route.MaxUpstreams {
		return f.hosted.route.LatencyTarget
	}
	return 0
}

func (h *hosted) firstToken(now core.Instant, e FirstToken) {
	f := h.flowOf(e.Request, e.Attempt)
	if f == nil || f.firstToken != 0 {
		return
	}
	f.firstToken = now
	h.dispatch.ObserveFirstEventDelay(now.Sub(f.hosted.prefillEnded))
}

func (h *hosted) answerEnded(now core.Instant, e ResponseCompleted) {
	f := h.flowOf(e.Request, e.Attempt)
	if f == nil {
		return
	}
	h.dispatch.RecordOutcome(f.hosted.decode.ID, e.Status < 500)
	f.ending = e
	h.emit(Complete{Request: f.request.ID})
	detail := fmt.Sprintf("status=%d took=%s runs=%d", e.Status, now.Sub(f.arrived), f.hosted.runs)
	if f.firstToken != 0 {
		detail += " first_event=" + f.firstToken.Sub(f.arrived).String() + " longest_pause=" + e.LongestPause.String()
	}
	h.recordAt(now, "request", "complete", f, f.hosted.decode.ID, detail)
	h.emit(Observe{Observation: Observation{
		Account: f.accountID(), Service: f.service.Name, FirstToken: f.firstToken.Sub(f.arrived),
		Hosted: &HostedOutcome{
			Plain: f.hosted.service.Engine == nil, Duration: now.Sub(f.arrived), LongestPause: e.LongestPause,
			Target: f.hosted.route.LatencyTarget, PauseTarget: f.hosted.route.EventIntervalTarget, Status: e.Status,
		},
	}})
	h.end(now, f)
}

// end releases everything that is held for a request.
func (h *hosted) end(now core.Instant, f *flow) {
	delete(h.flows, f.request.ID)
	host := f.hosted
	if host.stage == stagePrefill && host.hold != "" {
		h.emit(ReleaseHold{Upstream: host.decode.ID, Addr: host.decode.Addr, Hold: host.hold})
	}
	h.applyDispatch(now, h.dispatch.Release(now, f.request.ID))
}

// callerGone ends a request whose caller has left.
func (h *hosted) callerGone(now core.Instant, id core.RequestID) {
	f := h.flows[id]
	if f == nil {
		return
	}
	h.record(now, "request", "caller_gone", f, "stage="+string(f.hosted.stage))
	h.cancelAttempt(f)
	gone := Observation{Account: f.accountID(), Service: f.service.Name, CallerDisconnected: true}
	if f.firstToken == 0 {
		gone.WastedPrefillTokens = f.prefilled
	}
	h.emit(Observe{Observation: gone})
	h.giveBack(now, f)
	h.emit(RequestAbandoned{Request: id})
	h.end(now, f)
}

// cancelAttempt ends the call in progress. A hold is left to its answer.
func (h *hosted) cancelAttempt(f *flow) {
	switch f.hosted.stage {
	case stagePrefill:
		h.emit(Cancel{Request: f.request.ID, Attempt: f.attempt, Upstream: f.hosted.prefill.ID})
	case stageRun:
		h.emit(Cancel{Request: f.request.ID, Attempt: f.attempt, Upstream: f.hosted.decode.ID})
	}
}

// giveBack returns the tokens of a request that certainly did not run.
func (h *hosted) giveBack(now core.Instant, f *flow) {
	if f.charged && f.hosted.runs == 0 {
		h.quota.Refund(now, f.account.ID, f.charge)
	}
}

// refuseHosted ends a request without an answer. A request that may have run is
// never called not run.
func (h *hosted) refuseHosted(now core.Instant, f *flow, refusal *core.Refusal) {
	if f.hosted.kept {
		h.emit(RelayFailure{Request: f.request.ID})
		h.recordAt(now, "request", "failed", f, f.hosted.decode.ID, fmt.Sprintf("passed on, runs=%d", f.hosted.runs))
		h.observe(f, core.CodeUpstreamFailed, 0)
		h.end(now, f)
		return
	}
	if f.hosted.runs > 0 && refusal.Ran == core.NotRun {
		refusal = &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.MayHaveRun, Message: refusal.Message}
	}
	h.giveBack(now, f)
	h.emit(Refuse{Request: f.request.ID, Refusal: refusal})
	h.record(now, "request", "refused", f, h.refusalDetail(refusal, fmt.Sprintf("stage=%s waited=%s runs=%d arrivals=%d waiting=%d",
		f.hosted.stage, now.Sub(f.arrived), f.hosted.runs, f.hosted.arrivals, h.dispatch.QueueLength())))
	h.observe(f, refusal.Code, 0)
	h.end(now, f)
}

// timeOut ends a request at its time limit.
func (h *hosted) timeOut(now core.Instant, id core.RequestID) {
	f := h.flows[id]
	if f == nil || now < f.hosted.deadline {
		return
	}
	h.cancelAttempt(f)
	if f.hosted.runs > 0 {
		refusal := &core.Refusal{Code: core.CodeDeadlineExceeded, Ran: core.MayHaveRun, Message: "the request reached its time limit while it ran"}
		h.refuseHosted(now, f, refusal)
		return
	}
	h.refuseHosted(now, f, core.NewRefusal(core.CodeTargetUnreachable, "the request reached its time limit before it ran"))
}

// checkDrained ends a graceful shutdown when nothing is left to do, and shortly
// before the end of the grace period in any case.
func (h *hosted) checkDrained(now core.Instant) {
	if h.drained || !h.leaving {
		return
	}
	idle := now >= h.drainAt && len(h.flows) == 0
	if now >= h.drainAt {
		h.drainAt = core.Never
		h.unnamed = true
	}
	if idle || h.unnamed && len(h.flows) == 0 || now >= h.stopAt {
		h.drained = true
		h.stopAt = core.Never
		h.emit(Drained{})
	}
}

// notExecuted reports whether the failure shows that the request did not run.
func notExecuted(failure attempts.Failure) bool { return !failure.MaybeSent || failure.ConfirmedNotRun }
