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

// hostedRequest is the part of a flow that only hosted requests have.
type hostedRequest struct {
	route    *config.HostRoute
	service  *config.HostedService
	latencyDeadline core.Instant
	deadline core.Instant
	stage    hostedStage

	upstream  catalog.Upstream // also the Upstream of a plain call
	prefillEngine catalog.Upstream
	holdID    string
	// skipPrefill is set once a prefill may have been accepted. A further one would
	// count as an Upstream of the request.
	skipPrefill  bool
	prefillEndedAt core.Instant
	// deliveries counts the calls that may have reached an Upstream, runs those that
	// may have been run, unsent those that reached none.
	deliveries int
	executions     int
	undelivered   int
	// hasUpstreamFailure says that the daemon has a failure that an Upstream answered.
	hasUpstreamFailure bool
}

// onRequestArrived checks a request and submits it for dispatch.
func (h *hosted) onRequestArrived(now core.Instant, q Request) {
	if _, exists := h.requests[q.ID]; exists {
		h.emit(Refuse{Request: q.ID, Refusal: core.NewRefusal(core.CodeNoCapacity, "a request with this id is in progress")})
		return
	}
	rs := &requestState{request: q, arrivedAt: now, startDeadline: core.Never, promptTokens: q.PromptTokens, hosted: &hostedRequest{stage: stageWaiting}}
	if refusal := h.authorize(rs); refusal != nil {
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		// No account was asked for it, so it is not one that was refused inside its rate.
		h.emit(Observe{Observation: Observation{Account: rs.accountID(), Service: rs.service.Name, Code: refusal.Code}})
		h.record(now, "request", "refused", rs, h.refusalDetail(refusal, "host="+q.Host+" path="+q.Path))
		return
	}
	if c := h.crashes[q.Fingerprint]; c != nil && c.count() >= crashLimit && now < c.expiresAt {
		refusal := core.NewRefusal(core.CodeNoCapacity, "the request has ended the Upstreams that ran it")
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		h.observe(rs, refusal.Code, 0)
		h.record(now, "request", "refused", rs, h.refusalDetail(refusal, fmt.Sprintf("crashes=%d", c.count())))
		return
	}
	if refusal := h.charge(now, rs); refusal != nil {
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		h.observe(rs, refusal.Code, 0)
		h.record(now, "quota", "refused", rs, h.refusalDetail(refusal,
			fmt.Sprintf("tokens=%d level=%d peers_heard=%d", rs.charge, h.quota.Level(now, rs.account.ID), h.fleet.LiveCount()-1)))
		return
	}
	h.requests[q.ID] = rs
	h.retry.CountRequest(now, rs.hosted.service.Name)
	h.deadlines.Add(rs.hosted.deadline.Add(deadlineSlack), q.ID)
	h.submit(now, rs)
}

func (h *hosted) refusalDetail(refusal *core.Refusal, inputs string) string {
	return fmt.Sprintf("code=%s ran=%s retry_after=%s config=%d %s", refusal.Code, refusal.Ran, refusal.RetryAfter, h.activeVersion(), inputs)
}

func (h *hosted) activeVersion() core.Version {
	if h.routing == nil {
		return 0
	}
	return h.routing.Version
}

// authorize finds the route, the service and the account of a request.
func (h *hosted) authorize(rs *requestState) *core.Refusal {
	q, host := &rs.request, rs.hosted
	rs.service = &config.Service{}
	if h.routing == nil {
		return refusalWithRetryAfter(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	var found bool
	if host.route, found = h.routing.Route(q.Host, q.Path); !found {
		return core.NewRefusal(core.CodeUnknownRoute, "no route matches the host and path")
	}
	if host.service, found = h.routing.Service(h.pickService(host.route)); !found {
		return core.NewRefusal(core.CodeNoUpstream, "the service of the route does not exist")
	}
	rs.service = h.services[host.service.Name]
	if host.service.Engine == nil {
		rs.route = &config.Route{Idempotent: host.route.Idempotent()}
	}
	host.deadline = min(q.Deadline, rs.arrivedAt.Add(host.route.Timeout))
	host.latencyDeadline = rs.arrivedAt.Add(host.route.LatencyTarget)
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
	rs.account = h.accountViews[account.ID]
	return nil
}

// pickService draws a service by the weights of the route.
func (h *hosted) pickService(route *config.HostRoute) core.ServiceName {
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
func (h *hosted) charge(now core.Instant, rs *requestState) *core.Refusal {
	if rs.account == nil {
		return nil
	}
	account, _ := h.routing.Account(rs.account.ID)
	rs.charge = account.DefaultCostTokens
	if rs.request.HasTokenCounts && !account.CountRequests {
		rs.charge = int64(rs.request.PromptTokens) + int64(rs.request.MaxOutputTokens)
	}
	admitted, wait := h.quota.Admit(now, account.ID, rs.charge)
	if admitted {
		rs.charged = true
		return nil
	}
	return refusalWithRetryAfter(core.CodeOverRate, "the account is over its rate", max(wait, time.Second))
}

// holdOutputFactor is the room that is held beyond the estimate of the output: the
// estimate is right at the median only.
const holdOutputFactor = 1.6

// holdTokens is the memory to hold for a request.
func (rs *requestState) holdTokens() int {
	output := rs.request.MaxOutputTokens
	if expected := rs.request.ExpectedOutput; expected > 0 {
		output = min(output, int(float64(expected)*holdOutputFactor))
	}
	return rs.request.PromptTokens + output
}

func (h *hosted) submit(now core.Instant, rs *requestState) {
	host := rs.hosted
	host.stage = stageWaiting
	job := dispatch.Job{
		ID:              rs.request.ID,
		Service:         host.service.Name,
		IsModelRequest:  host.service.Engine != nil,
		MemoryTokens:    rs.holdTokens(),
		PromptTokens:    rs.request.PromptTokens,
		Priority:        h.effectivePriority(rs),
		ArrivalTime:     rs.arrivedAt,
		LatencyDeadline: host.latencyDeadline,
		Deadline:        host.deadline,
		AvoidUpstreams:  rs.avoidUpstreams,
		IsRetry:         host.deliveries+host.undelivered > 0,
	}
	h.applyDispatch(now, h.dispatch.Submit(now, job))
}

// effectivePriority is the priority of the account, else that of the route.
func (h *hosted) effectivePriority(rs *requestState) int {
	if rs.account != nil {
		if account, found := h.routing.Account(rs.account.ID); found && account.HasPriority {
			return account.Priority
		}
	}
	return rs.hosted.route.Priority
}

func (h *hosted) applyDispatch(now core.Instant, outputs []dispatch.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case dispatch.Hold:
			h.acquireHold(now, o)
		case dispatch.Call:
			h.startCall(now, o)
		case dispatch.Refused:
			if rs := h.requests[o.ID]; rs != nil {
				h.refuseHosted(now, rs, o.Refusal)
			}
		}
	}
}

func (h *hosted) nextAttempt(rs *requestState) core.AttemptID {
	h.attemptSeq++
	rs.attempt = core.AttemptID{Owner: h.self.Ref, Seq: h.attemptSeq}
	return rs.attempt
}

func (h *hosted) acquireHold(now core.Instant, o dispatch.Hold) {
	rs := h.requests[o.ID]
	if rs == nil {
		return
	}
	rs.hosted.stage = stageHold
	rs.hosted.upstream, _ = h.catalog.Get(o.Upstream)
	term := rs.hosted.service.Engine.MaxHoldDuration
	if term == 0 || term > maxHoldDuration {
		term = maxHoldDuration
	}
	h.emit(AcquireHold{
		Request: o.ID, Attempt: h.nextAttempt(rs), Upstream: o.Upstream, Addr: rs.hosted.upstream.Addr, Tokens: o.Tokens, Term: term,
	})
}

// onHoldResult goes on with the prefill, or looks for another engine.
func (h *hosted) onHoldResult(now core.Instant, e HoldResult) {
	rs := h.requests[e.Request]
	if rs == nil || rs.attempt != e.Attempt || rs.hosted.stage != stageHold {
		if e.Outcome == HoldGranted {
			h.emit(ReleaseHold{Upstream: e.Upstream, Addr: e.Addr, Hold: e.Hold})
		}
		return
	}
	switch e.Outcome {
	case HoldGranted:
		rs.hosted.holdID = e.Hold
		h.startPrefill(now, rs)
		return
	case HoldUnreachable, HoldAddressReassigned:
		h.dispatch.MarkUnreachable(now, e.Upstream)
	}
	h.recordWithUpstream(now, "dispatch", "no place", rs, e.Upstream, string(e.Outcome))
	rs.hosted.stage = stageWaiting
	h.applyDispatch(now, h.dispatch.OnHoldRefused(now, e.Request))
}

// startPrefill sends the prompt to a prefill engine. Without one, and after an
// earlier prefill, the decode engine reads the prompt itself.
func (h *hosted) startPrefill(now core.Instant, rs *requestState) {
	if rs.hosted.skipPrefill {
		h.startDecode(now, rs)
		return
	}
	id, expected, found := h.dispatch.OnHoldGranted(now, rs.request.ID)
	if !found {
		h.startDecode(now, rs)
		return
	}
	rs.hosted.prefillEngine, _ = h.catalog.Get(id)
	rs.hosted.stage = stagePrefill
	h.emit(StartPrefill{
		Request: rs.request.ID, Attempt: h.nextAttempt(rs), Upstream: id, URL: rs.hosted.prefillEngine.Addr,
		At: now, NotAfter: rs.hosted.deadline, Deadline: rs.hosted.deadline, Priority: h.effectivePriority(rs), Account: rs.accountID(),
		ResponseTimeout: min(max(minPrefillTimeout, prefillTimeoutFactor*expected), maxHoldDuration),
	})
	h.recordWithUpstream(now, "dispatch", "prefill", rs, id, fmt.Sprintf("decode=%s place=%d waited=%s", rs.hosted.upstream.ID, rs.holdTokens(), now.Sub(rs.arrivedAt)))
}

func (h *hosted) onPrefillDone(now core.Instant, e PrefillDone) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil {
		h.emit(ReleaseKV{Upstream: e.Upstream, Addr: e.Addr, KV: e.KV})
		return
	}
	h.dispatch.OnPrefillDone(rs.request.ID)
	h.dispatch.RecordOutcome(rs.hosted.prefillEngine.ID, true)
	rs.kv = e.KV
	rs.tokensPrefilled += rs.promptTokens
	rs.hosted.skipPrefill = true
	rs.hosted.prefillEndedAt = now
	rs.hosted.deliveries++
	h.startDecode(now, rs)
}

const (
	// A prefill that takes prefillTimeoutFactor times as long as expected is given up while
	// the place at the decode engine is still held, but not before
	// shortestPrefillWait, since the load that peers report is late.
	prefillTimeoutFactor        = 4
	minPrefillTimeout = 700 * time.Millisecond
	// resumableEventTimeout is the pause after which a stream goes on at another engine. An
	// event takes 60 ms at a busy engine; callers leave after about 2.4 s.
	resumableEventTimeout = time.Second
	// defaultEventTimeout is the pause after which a stream that can't go on elsewhere is
	// given up. Callers leave sooner.
	defaultEventTimeout = 5 * time.Second
)

// eventTimeout is the longest pause of a stream: short while it may go on at another
// engine.
func (h *hosted) eventTimeout(rs *requestState) time.Duration {
	if rs.hosted.route.Resumable && rs.hosted.executions < rs.hosted.route.MaxUpstreams {
		return resumableEventTimeout
	}
	return defaultEventTimeout
}

// requestWithAttempt returns the request whose current attempt is meant, else nil.
func (h *hosted) requestWithAttempt(id core.RequestID, attempt core.AttemptID) *requestState {
	rs := h.requests[id]
	if rs == nil || rs.attempt != attempt {
		return nil
	}
	return rs
}

func (h *hosted) startDecode(now core.Instant, rs *requestState) {
	host := rs.hosted
	host.stage = stageRun
	host.executions++
	if host.prefillEndedAt == 0 {
		host.prefillEndedAt = now
	}
	source := ""
	if rs.kv != "" {
		source = host.prefillEngine.Addr
	}
	h.emit(StartDecode{
		Request: rs.request.ID, Attempt: h.nextAttempt(rs), Upstream: host.upstream.ID, URL: host.upstream.Addr,
		SourceURL: source, KV: rs.kv, Hold: host.holdID, At: now, NotAfter: host.deadline, Deadline: host.deadline,
		Priority: h.effectivePriority(rs), Account: rs.accountID(), Resumable: host.route.Resumable,
		EventTimeout: h.eventTimeout(rs),
	})
	h.recordWithUpstream(now, "dispatch", "decode", rs, host.upstream.ID, fmt.Sprintf("kv=%t hold=%t run=%d", rs.kv != "", host.holdID != "", host.executions))
}

func (h *hosted) startCall(now core.Instant, o dispatch.Call) {
	rs := h.requests[o.ID]
	if rs == nil {
		return
	}
	rs.hosted.stage = stageRun
	rs.hosted.executions++
	rs.hosted.upstream, _ = h.catalog.Get(o.Upstream)
	h.emit(StartCall{
		Request: o.ID, Attempt: h.nextAttempt(rs), Upstream: o.Upstream, URL: rs.hosted.upstream.Addr,
		NotAfter: rs.hosted.deadline, Deadline: rs.hosted.deadline, Priority: h.effectivePriority(rs), Account: rs.accountID(),
		Idempotent: rs.hosted.route.Idempotent(), ResponseTimeout: h.responseTimeout(rs),
	})
	h.recordWithUpstream(now, "dispatch", "call", rs, o.Upstream, fmt.Sprintf("run=%d waited=%s", rs.hosted.executions, now.Sub(rs.arrivedAt)))
}

// responseTimeout is the time after which a call that may run again is sent to
// another Upstream: its latency target, while another try is left.
func (h *hosted) responseTimeout(rs *requestState) time.Duration {
	if rs.hosted.route.Idempotent() && rs.hosted.executions < rs.hosted.route.MaxUpstreams {
		return rs.hosted.route.LatencyTarget
	}
	return 0
}

func (h *hosted) onFirstToken(now core.Instant, e FirstToken) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil || rs.firstTokenAt != 0 {
		return
	}
	rs.firstTokenAt = now
	h.dispatch.ObserveFirstEventDelay(now.Sub(rs.hosted.prefillEndedAt))
}

func (h *hosted) onResponseCompleted(now core.Instant, e ResponseCompleted) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil {
		return
	}
	h.dispatch.RecordOutcome(rs.hosted.upstream.ID, e.Status < 500)
	rs.completion = e
	h.emit(Complete{Request: rs.request.ID})
	detail := fmt.Sprintf("status=%d took=%s runs=%d", e.Status, now.Sub(rs.arrivedAt), rs.hosted.executions)
	if rs.firstTokenAt != 0 {
		detail += " first_event=" + rs.firstTokenAt.Sub(rs.arrivedAt).String() + " longest_pause=" + e.LongestPause.String()
	}
	h.recordWithUpstream(now, "request", "complete", rs, rs.hosted.upstream.ID, detail)
	h.emit(Observe{Observation: Observation{
		Account: rs.accountID(), Service: rs.service.Name, FirstToken: rs.firstTokenAt.Sub(rs.arrivedAt),
		Hosted: &HostedOutcome{
			Plain: rs.hosted.service.Engine == nil, Duration: now.Sub(rs.arrivedAt), LongestPause: e.LongestPause,
			Target: rs.hosted.route.LatencyTarget, PauseTarget: rs.hosted.route.EventIntervalTarget, Status: e.Status,
		},
	}})
	h.finish(now, rs)
}

// finish releases everything that is held for a request.
func (h *hosted) finish(now core.Instant, rs *requestState) {
	delete(h.requests, rs.request.ID)
	host := rs.hosted
	if host.stage == stagePrefill && host.holdID != "" {
		h.emit(ReleaseHold{Upstream: host.upstream.ID, Addr: host.upstream.Addr, Hold: host.holdID})
	}
	h.applyDispatch(now, h.dispatch.Release(now, rs.request.ID))
}

// onCallerDisconnected ends a request whose caller has left.
func (h *hosted) onCallerDisconnected(now core.Instant, id core.RequestID) {
	rs := h.requests[id]
	if rs == nil {
		return
	}
	h.record(now, "request", "caller_gone", rs, "stage="+string(rs.hosted.stage))
	h.cancelAttempt(rs)
	gone := Observation{Account: rs.accountID(), Service: rs.service.Name, CallerDisconnected: true}
	if rs.firstTokenAt == 0 {
		gone.WastedPrefillTokens = rs.tokensPrefilled
	}
	h.emit(Observe{Observation: gone})
	h.refundQuota(now, rs)
	h.emit(RequestAbandoned{Request: id})
	h.finish(now, rs)
}

// cancelAttempt ends the call in progress. A hold is left to its answer.
func (h *hosted) cancelAttempt(rs *requestState) {
	switch rs.hosted.stage {
	case stagePrefill:
		h.emit(Cancel{Request: rs.request.ID, Attempt: rs.attempt, Upstream: rs.hosted.prefillEngine.ID})
	case stageRun:
		h.emit(Cancel{Request: rs.request.ID, Attempt: rs.attempt, Upstream: rs.hosted.upstream.ID})
	}
}

// refundQuota returns the tokens of a request that certainly did not run.
func (h *hosted) refundQuota(now core.Instant, rs *requestState) {
	if rs.charged && rs.hosted.executions == 0 {
		h.quota.Refund(now, rs.account.ID, rs.charge)
	}
}

// refuseHosted ends a request without an answer. A request that may have run is
// never called not run.
func (h *hosted) refuseHosted(now core.Instant, rs *requestState, refusal *core.Refusal) {
	if rs.hosted.hasUpstreamFailure {
		h.emit(RelayFailure{Request: rs.request.ID})
		h.recordWithUpstream(now, "request", "failed", rs, rs.hosted.upstream.ID, fmt.Sprintf("passed on, runs=%d", rs.hosted.executions))
		h.observe(rs, core.CodeUpstreamFailed, 0)
		h.finish(now, rs)
		return
	}
	if rs.hosted.executions > 0 && refusal.Ran == core.NotRun {
		refusal = &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.MayHaveRun, Message: refusal.Message}
	}
	h.refundQuota(now, rs)
	h.emit(Refuse{Request: rs.request.ID, Refusal: refusal})
	h.record(now, "request", "refused", rs, h.refusalDetail(refusal, fmt.Sprintf("stage=%s waited=%s runs=%d arrivals=%d waiting=%d",
		rs.hosted.stage, now.Sub(rs.arrivedAt), rs.hosted.executions, rs.hosted.deliveries, h.dispatch.QueueLength())))
	h.observe(rs, refusal.Code, 0)
	h.finish(now, rs)
}

// onDeadline ends a request at its time limit.
func (h *hosted) onDeadline(now core.Instant, id core.RequestID) {
	rs := h.requests[id]
	if rs == nil || now < rs.hosted.deadline {
		return
	}
	h.cancelAttempt(rs)
	if rs.hosted.executions > 0 {
		refusal := &core.Refusal{Code: core.CodeDeadlineExceeded, Ran: core.MayHaveRun, Message: "the request reached its time limit while it ran"}
		h.refuseHosted(now, rs, refusal)
		return
	}
	h.refuseHosted(now, rs, core.NewRefusal(core.CodeTargetUnreachable, "the request reached its time limit before it ran"))
}

// checkDrained ends a graceful shutdown when nothing is left to do, and shortly
// before the end of the grace period in any case.
func (h *hosted) checkDrained(now core.Instant) {
	if h.drained || !h.leaving {
		return
	}
	idle := now >= h.addressesExpireAt && len(h.requests) == 0
	if now >= h.addressesExpireAt {
		h.addressesExpireAt = core.Never
		h.addressesExpired = true
	}
	if idle || h.addressesExpired && len(h.requests) == 0 || now >= h.stopAt {
		h.drained = true
		h.stopAt = core.Never
		h.emit(Drained{})
	}
}

// notExecuted reports whether the failure shows that the request did not run.
func notExecuted(failure attempts.Failure) bool { return !failure.MaybeSent || failure.ConfirmedNotRun }
