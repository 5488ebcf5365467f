package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// hostedStage is what a hosted request waits for.
type hostedStage string

const (
	stageWaiting hostedStage = "waiting" // to be placed by dispatch
	stageHold    hostedStage = "hold"    // the result of an AcquireHold
	stagePrefill hostedStage = "prefill"
	stageRun     hostedStage = "run" // the response of a decode engine or a plain service
)

// hostedRequest is the part of a requestState that only a hosted Instance uses.
type hostedRequest struct {
	route           *config.HostRoute
	service         *config.HostedService
	latencyDeadline core.Instant
	deadline        core.Instant
	stage           hostedStage
	// authorizedAt is the revision of the configuration that has allowed the request.
	authorizedAt core.StoreRevision
	// routeRegions and accountRegions are the regions in which the route and the account allow
	// the request by the active configuration.
	routeRegions   locality.Set
	accountRegions locality.Set

	upstream      catalog.Upstream // a decode engine or the replica of a plain service
	prefillEngine catalog.Upstream
	holdID        string
	holdTokens    int // the size of the hold
	// skipPrefill is set once a prefill may have been accepted. Another one would
	// count towards the route's MaxUpstreams.
	skipPrefill    bool
	prefillEndedAt core.Instant
	// holdExpiresAt is the instant at which the hold ends unless it is used.
	holdExpiresAt core.Instant
	// runStartedAt is the instant at which the current run was sent.
	runStartedAt core.Instant
	// firstEventAt is the instant of the first event of the current attempt, 0 before.
	firstEventAt core.Instant
	// deliveries counts the attempts that may have reached an Upstream, executions
	// those that an Upstream may have run, undelivered those that reached none.
	deliveries  int
	executions  int
	undelivered int
	// hasUpstreamFailure is set when the daemon has stored an error response of an
	// Upstream that it can relay.
	hasUpstreamFailure bool
}

// onRequestArrived authorizes and charges a request and submits it for dispatch.
func (h *hosted) onRequestArrived(now core.Instant, q Request) {
	if h.awaitConfirmation(now, q) || h.awaitEvacuations(now, q) || h.awaitShare(q) {
		return
	}
	if _, exists := h.requests[q.ID]; exists {
		h.emit(Refuse{Request: q.ID, Refusal: core.NewRefusal(core.CodeNoCapacity, "a request with this id is in progress")})
		return
	}
	rs := &requestState{request: q, arrivedAt: now, startDeadline: core.Never, promptTokens: q.PromptTokens, hosted: &hostedRequest{stage: stageWaiting}}
	refusal := h.authorize(rs)
	h.setRegions(rs)
	if refusal != nil {
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		// The quota was not checked, so the refusal does not count as one within the
		// rate of the account.
		h.emit(Observe{Observation: Observation{Account: rs.accountID(), Service: rs.service.Name, Code: refusal.Code}})
		h.record(now, "request", "refused", rs, h.refusalDetail(refusal, "host="+q.Host+" path="+q.Path))
		return
	}
	if h.mayNotComplete(now, rs) {
		refusal := refusalWithRetryAfter(core.CodeLeaving, "the instance stops and could not complete the request", leavingRetryAfter)
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		h.observe(rs, refusal.Code, 0)
		h.record(now, "request", "refused", rs, h.refusalDetail(refusal, "stage=leaving"))
		return
	}
	if cause, found := h.findPoison(now, rs); found {
		refusal := poisonRefusal(cause)
		h.emit(Refuse{Request: q.ID, Refusal: refusal})
		h.observe(rs, refusal.Code, 0)
		h.record(now, "request", "refused", rs, h.refusalDetail(refusal, cause))
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
	q, hr := &rs.request, rs.hosted
	rs.service = &config.Service{}
	if h.routing == nil {
		return refusalWithRetryAfter(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	var found bool
	if hr.route, found = h.routing.Route(q.Host, q.Path); !found {
		return core.NewRefusal(core.CodeUnknownRoute, "no route matches the host and path")
	}
	if hr.service, found = h.routing.Service(h.pickService(hr.route)); !found {
		return core.NewRefusal(core.CodeNoUpstream, "the service of the route does not exist")
	}
	rs.service = h.services[hr.service.Name]
	hr.authorizedAt = h.configRevision
	if hr.service.Engine == nil {
		rs.route = &config.Route{Idempotent: hr.route.Idempotent()}
	}
	hr.deadline = min(q.Deadline, rs.arrivedAt.Add(hr.route.Timeout))
	hr.latencyDeadline = rs.arrivedAt.Add(hr.route.LatencyTarget)
	if hr.route.Public || !h.routing.NeedsKeys {
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

// pickService picks a service of the route at random by weight.
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

// charge deducts the tokens of a request from its account.
func (h *hosted) charge(now core.Instant, rs *requestState) *core.Refusal {
	if rs.account == nil {
		return nil
	}
	account, _ := h.routing.Account(rs.account.ID)
	rs.charge = requestCost(account, &rs.request)
	admitted, wait := h.quota.Admit(now, account.ID, rs.charge)
	if admitted {
		rs.charged = true
		return nil
	}
	if h.admitWithinTolerance(now, rs) {
		return nil
	}
	return refusalWithRetryAfter(core.CodeOverRate, "the account is over its rate", max(wait, time.Second))
}

// requestCost returns what a request takes from the allowance of its account.
func requestCost(account *config.HostedAccount, q *Request) int64 {
	if q.HasTokenCounts && !account.CountRequests {
		return int64(q.PromptTokens) + int64(q.MaxOutputTokens)
	}
	return account.DefaultCostTokens
}

func (h *hosted) submit(now core.Instant, rs *requestState) {
	hr := rs.hosted
	hr.stage = stageWaiting
	weight, cost := h.queueShare(rs)
	job := dispatch.Job{
		ID:              rs.request.ID,
		Service:         hr.service.Name,
		IsModelRequest:  hr.service.Engine != nil,
		MemoryTokens:    rs.holdTokens(),
		PromptTokens:    rs.request.PromptTokens,
		Prompt:          h.heldPrompts.Prompt(hr.service.Name, rs.request.PromptParts, rs.request.PromptTokens),
		Priority:        h.effectivePriority(rs),
		ArrivalTime:     rs.arrivedAt,
		LatencyDeadline: hr.latencyDeadline,
		Deadline:        hr.deadline,
		AvoidUpstreams:  rs.avoidUpstreams,
		IsRetry:         hr.deliveries+hr.undelivered > 0,
		Regions:         hr.regions(),
		Account:         rs.accountID(),
		Weight:          weight,
		Cost:            cost,
	}
	h.applyDispatch(now, h.dispatch.Submit(now, job))
}

// effectivePriority returns the priority of the account if it has one, else that of
// the route.
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

// decisionTTL is the time within which an attempt must be sent. It is longer than the
// connection to an Upstream takes. What a process sends later, because it was paused, goes by
// keys, limits and Upstreams that may have changed.
const decisionTTL = time.Second

// sendBefore returns the instant from which an attempt that starts now must not be sent.
func (rs *requestState) sendBefore(now core.Instant) core.Instant {
	return min(rs.hosted.deadline, now.Add(decisionTTL))
}

func (h *hosted) nextAttempt(rs *requestState) core.AttemptID {
	h.attemptSeq++
	rs.attempt = core.AttemptID{Owner: h.self.Ref, Seq: h.attemptSeq}
	return rs.attempt
}

// startPrefill sends the prompt to a prefill engine. If there is none, or skipPrefill
// is set, the decode engine computes the prefill itself.
func (h *hosted) startPrefill(now core.Instant, rs *requestState) {
	if h.refusePoison(now, rs) {
		return
	}
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
		At: now, NotAfter: rs.sendBefore(now), Deadline: rs.hosted.deadline, Priority: h.effectivePriority(rs), Account: rs.accountID(),
		ResponseTimeout: min(max(minPrefillTimeout, prefillTimeoutFactor*expected), maxHoldDuration),
		Urgency:         h.urgency(rs),
	})
	h.recordWithUpstream(now, "dispatch", "prefill", rs, id, fmt.Sprintf("decode=%s place=%d waited=%s", rs.hosted.upstream.ID, rs.holdTokens(), now.Sub(rs.arrivedAt)))
}

func (h *hosted) onPrefillDone(now core.Instant, e PrefillDone) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil {
		h.emitReleaseKV(now, ReleaseKV{Upstream: e.Upstream, Addr: e.Addr, KV: e.KV})
		return
	}
	h.dispatch.ObservePrefill(now, rs.request.ID)
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
	// A prefill times out after prefillTimeoutFactor times its expected duration, while
	// the hold at the decode engine is still valid, but not before minPrefillTimeout:
	// the expectation uses load reports of peers, which arrive late.
	prefillTimeoutFactor = 4
	minPrefillTimeout    = 700 * time.Millisecond
	// streamStallTimeout is the time without an event after which a stream is continued at
	// another engine. A busy engine takes 60 ms for an event, and callers disconnect after
	// about 2.4 s.
	streamStallTimeout = time.Second
	// minEventTimeout is the shortest time without an event after which a stream ends.
	minEventTimeout = 5 * time.Second
	// stallIntervals is the number of intervals between events, as long as the route allows
	// them, after which a stream is continued at another engine.
	stallIntervals = 3
	// Callers disconnect when no event has arrived for these multiples of the route's latency
	// target or of the interval that it allows between events.
	callerPatienceTargets   = 4
	callerPatienceIntervals = 8
)

// stallTimeout returns the time without progress after which an attempt is retried at
// another Upstream if the retry budget allows it, 0 if the request may not be retried.
func (h *hosted) stallTimeout(rs *requestState) time.Duration {
	route := rs.hosted.route
	switch {
	case !route.Idempotent() || rs.hosted.executions >= route.MaxUpstreams:
		return 0
	case route.Streaming:
		return max(streamStallTimeout, stallIntervals*route.EventIntervalTarget)
	}
	return route.LatencyTarget
}

// eventTimeout returns the time without an event after which a stream ends, because its
// caller has disconnected by then. Other answers have no such time, 0.
func (h *hosted) eventTimeout(rs *requestState) time.Duration {
	route := rs.hosted.route
	if !route.Streaming {
		return 0
	}
	return max(minEventTimeout, callerPatienceTargets*route.LatencyTarget, callerPatienceIntervals*route.EventIntervalTarget)
}

// requestWithAttempt returns the request if attempt is its current attempt, else nil.
func (h *hosted) requestWithAttempt(id core.RequestID, attempt core.AttemptID) *requestState {
	rs := h.requests[id]
	if rs == nil || rs.attempt != attempt {
		return nil
	}
	return rs
}

func (h *hosted) startDecode(now core.Instant, rs *requestState) {
	if h.refusePoison(now, rs) {
		return
	}
	if h.replaceEvacuatedDecode(now, rs) || h.replaceDecode(now, rs) {
		return
	}
	hr := rs.hosted
	hr.stage = stageRun
	hr.executions++
	hr.runStartedAt = now
	hr.firstEventAt = 0
	if hr.prefillEndedAt == 0 {
		hr.prefillEndedAt = now
	}
	h.dropForeignKV(now, rs)
	source := ""
	if rs.kv != "" {
		source = hr.prefillEngine.Addr
	}
	h.emit(StartDecode{
		Request: rs.request.ID, Attempt: h.nextAttempt(rs), Upstream: hr.upstream.ID, URL: hr.upstream.Addr,
		SourceURL: source, KV: rs.kv, Hold: hr.holdID, At: now, NotAfter: rs.sendBefore(now), Deadline: hr.deadline,
		Priority: h.effectivePriority(rs), Urgency: h.urgency(rs), Account: rs.accountID(),
		Streaming: hr.route.Streaming, Resumable: hr.route.Resumable, EventTimeout: h.eventTimeout(rs), StallTimeout: h.stallTimeout(rs),
	})
	h.recordWithUpstream(now, "dispatch", "decode", rs, hr.upstream.ID, fmt.Sprintf("kv=%t hold=%t run=%d", rs.kv != "", hr.holdID != "", hr.executions))
}

func (h *hosted) startCall(now core.Instant, o dispatch.Call) {
	rs := h.requests[o.ID]
	if rs == nil || h.refuseUnauthorized(now, rs) || h.refusePoison(now, rs) {
		return
	}
	rs.hosted.stage = stageRun
	rs.hosted.executions++
	rs.hosted.runStartedAt = now
	rs.hosted.upstream, _ = h.catalog.Get(o.Upstream)
	h.emit(StartCall{
		Request: o.ID, Attempt: h.nextAttempt(rs), Upstream: o.Upstream, URL: rs.hosted.upstream.Addr,
		NotAfter: rs.sendBefore(now), Deadline: rs.hosted.deadline, Priority: h.effectivePriority(rs), Account: rs.accountID(),
		Idempotent: rs.hosted.route.Idempotent(), Streaming: rs.hosted.route.Streaming, Resumable: rs.hosted.route.Resumable,
		EventTimeout: h.eventTimeout(rs), StallTimeout: h.stallTimeout(rs),
	})
	h.recordWithUpstream(now, "dispatch", "call", rs, o.Upstream, fmt.Sprintf("run=%d waited=%s", rs.hosted.executions, now.Sub(rs.arrivedAt)))
}

func (h *hosted) onFirstToken(now core.Instant, e FirstToken) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil {
		return
	}
	rs.hosted.firstEventAt = now
	h.processSurvived(now, rs)
	h.observeFirstEvent(now, rs)
	if rs.firstTokenAt != 0 {
		return
	}
	rs.firstTokenAt = now
	if rs.hosted.service.Engine != nil {
		h.dispatch.ObserveFirstEventDelay(now.Sub(rs.hosted.prefillEndedAt))
	}
}

func (h *hosted) onResponseCompleted(now core.Instant, e ResponseCompleted) {
	rs := h.requests[e.Request]
	if rs == nil {
		return
	}
	if rs.attempt == e.Attempt {
		h.observeCompletion(now, rs, e)
		h.dispatch.RecordOutcome(rs.hosted.upstream.ID, e.Status < 500)
	} else { // the response was complete when its attempt was cancelled as stalled
		h.cancelAttempt(rs)
	}
	h.recordSurvival(now, rs, e)
	rs.completion = e
	h.durations.record(now, rs.hosted.service.Name, now.Sub(rs.arrivedAt))
	h.emit(Complete{Request: rs.request.ID})
	detail := fmt.Sprintf("status=%d took=%s runs=%d", e.Status, now.Sub(rs.arrivedAt), rs.hosted.executions)
	if rs.firstTokenAt != 0 {
		detail += " first_event=" + rs.firstTokenAt.Sub(rs.arrivedAt).String() + " longest_pause=" + e.LongestPause.String()
	}
	if e.UntilClose {
		detail += " until_close=true"
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

// finish removes a request and releases everything that is held for it.
func (h *hosted) finish(now core.Instant, rs *requestState) {
	delete(h.requests, rs.request.ID)
	hr := rs.hosted
	if (hr.stage == stageHold || hr.stage == stagePrefill) && hr.holdID != "" {
		h.emitReleaseHold(now, rs, ReleaseHold{Upstream: hr.upstream.ID, Addr: hr.upstream.Addr, Hold: hr.holdID})
	}
	h.applyDispatch(now, h.dispatch.Release(now, rs.request.ID))
}

// onCallerDisconnected ends a request whose caller has disconnected.
func (h *hosted) onCallerDisconnected(now core.Instant, id core.RequestID) {
	rs := h.requests[id]
	if rs == nil {
		h.abandonPending(id)
		h.abandonEvacuationWait(id)
		h.abandonShareWait(id)
		return
	}
	h.record(now, "request", "caller_gone", rs, "stage="+string(rs.hosted.stage))
	h.cancelAttempt(rs)
	observation := Observation{Account: rs.accountID(), Service: rs.service.Name, CallerDisconnected: true}
	if rs.firstTokenAt == 0 {
		observation.WastedPrefillTokens = rs.tokensPrefilled
	}
	h.emit(Observe{Observation: observation})
	h.refundQuota(now, rs)
	h.emit(RequestAbandoned{Request: id})
	h.finish(now, rs)
}

// cancelAttempt cancels the current attempt. A hold that was requested is released
// when its result arrives.
func (h *hosted) cancelAttempt(rs *requestState) {
	switch rs.hosted.stage {
	case stagePrefill:
		h.emit(Cancel{Request: rs.request.ID, Attempt: rs.attempt, Upstream: rs.hosted.prefillEngine.ID})
	case stageRun:
		h.emit(Cancel{Request: rs.request.ID, Attempt: rs.attempt, Upstream: rs.hosted.upstream.ID})
	}
}

// refundQuota refunds the tokens of a request that certainly did not run.
func (h *hosted) refundQuota(now core.Instant, rs *requestState) {
	if rs.charged && rs.hosted.executions == 0 {
		h.quota.Refund(now, rs.account.ID, rs.charge)
	}
}

// refuseHosted ends a request without a complete response. It relays the error
// response of an Upstream if there is one. A refusal never states core.NotRun for a
// request that may have run.
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
		rs.hosted.stage, now.Sub(rs.arrivedAt), rs.hosted.executions, rs.hosted.deliveries, h.dispatch.QueueLength())+rs.hosted.regionDetail()+h.unavailable(now, rs.hosted.service.Name)))
	h.observe(rs, refusal.Code, 0)
	h.finish(now, rs)
}

// onDeadline ends a request that has reached its deadline.
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

// notExecuted reports whether the failure shows that the request did not run.
func notExecuted(failure attempts.Failure) bool { return !failure.MaybeSent || failure.ConfirmedNotRun }
