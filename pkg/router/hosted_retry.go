package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// onAttemptFailed decides what becomes of a request whose call failed. It answers
// Upstreams that crash, fall silent, refuse or fail part of their requests: a
// request goes on elsewhere only when it certainly did not run, or may run again
// within its number of Upstreams and the retry budget of the fleet.
func (h *hosted) onAttemptFailed(now core.Instant, e AttemptFailed) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil {
		return
	}
	failure := e.Failure
	h.recordFailure(now, rs, failure)
	h.emit(Observe{Observation: Observation{Service: rs.service.Name, Hosted: &HostedOutcome{Failure: failure.Kind}}})
	h.recordWithUpstream(now, "dispatch", "failed", rs, failure.Upstream, fmt.Sprintf("stage=%s kind=%s sent=%t rejected=%t began=%t runs=%d",
		rs.hosted.stage, failure.Kind, failure.MaybeSent, failure.ConfirmedNotRun, rs.firstTokenAt != 0, rs.hosted.executions))
	if rs.hosted.stage == stagePrefill {
		h.onPrefillFailed(now, rs, failure)
		return
	}
	h.onRunFailed(now, rs, failure)
}

// recordFailure keeps new work from an Upstream that does not answer, and counts
// the crash for the request that ran there.
func (h *hosted) recordFailure(now core.Instant, rs *requestState, failure attempts.Failure) {
	switch failure.Kind {
	case attempts.FailConnect:
		h.dispatch.MarkUnreachable(now, failure.Upstream)
	case attempts.FailStalled:
		h.dispatch.RecordOutcome(failure.Upstream, false)
		if rs.hosted.service.Engine != nil { // a plain call may only be slow
			h.dispatch.MarkUnreachable(now, failure.Upstream)
		}
	case attempts.FailCrashed:
		h.dispatch.RecordOutcome(failure.Upstream, false)
		if failure.MaybeSent && rs.hosted.stage == stageRun {
			h.crashRecordOf(now, rs.request.Fingerprint).own++
		}
	case attempts.FailProtocolError:
		h.dispatch.RecordOutcome(failure.Upstream, false)
	}
}

// onPrefillFailed goes on without a prefill engine, or with another one when the
// first was not reached.
func (h *hosted) onPrefillFailed(now core.Instant, rs *requestState, failure attempts.Failure) {
	h.dispatch.OnPrefillDone(rs.request.ID)
	if !failure.MaybeSent {
		rs.hosted.undelivered++
		if rs.hosted.undelivered < maxUndelivered {
			h.startPrefill(now, rs)
			return
		}
	} else {
		rs.hosted.deliveries++
		if failure.ConfirmedNotRun {
			h.retry.CountRetry(now, rs.hosted.service.Name)
		}
	}
	rs.hosted.skipPrefill = true
	h.startDecode(now, rs)
}

func (h *hosted) onRunFailed(now core.Instant, rs *requestState, failure attempts.Failure) {
	host := rs.hosted
	if notExecuted(failure) {
		host.executions--
	}
	if failure.MaybeSent {
		host.deliveries++
	}
	host.hasUpstreamFailure = host.hasUpstreamFailure || failure.Kind == attempts.FailProtocolError
	if !h.allowRetry(now, rs, failure) {
		if rs.firstTokenAt == 0 && host.executions == 0 {
			h.refuseHosted(now, rs, refusalWithRetryAfter(core.CodeNoCapacity, "the Upstream refused the request", refusedRetryAfter))
			return
		}
		h.refuseHosted(now, rs, &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.MayHaveRun, Message: "the Upstream failed while it ran the request"})
		return
	}
	h.releaseKV(rs)
	host.holdID = ""
	if !failure.ConfirmedNotRun || failure.Kind != attempts.FailKVGone {
		rs.avoidUpstreams = append(rs.avoidUpstreams, failure.Upstream)
	}
	h.emit(Observe{Observation: Observation{Service: rs.service.Name, Hosted: &HostedOutcome{Retried: true}}})
	h.applyDispatch(now, h.dispatch.Release(now, rs.request.ID))
	h.submit(now, rs)
}

// refusedRetryAfter is the time after which a caller may return when the Upstreams
// refused its request. A place becomes free sooner than that on a busy engine.
const refusedRetryAfter = time.Second

// allowRetry reports whether a request may be sent to an Upstream once more, and
// takes the resend from the budget.
func (h *hosted) allowRetry(now core.Instant, rs *requestState, failure attempts.Failure) bool {
	host := rs.hosted
	if now >= host.deadline {
		return false
	}
	if !failure.MaybeSent {
		host.undelivered++
		return host.undelivered < maxUndelivered
	}
	if !notExecuted(failure) && !(host.route.Idempotent() && host.executions < host.route.MaxUpstreams) {
		return false
	}
	if c := h.crashes[rs.request.Fingerprint]; c != nil && c.count() >= crashLimit {
		return false
	}
	return h.retry.Allow(now, host.service.Name)
}

// releaseKV frees a KV cache that no engine has fetched.
func (h *hosted) releaseKV(rs *requestState) {
	if rs.kv == "" {
		return
	}
	h.emit(ReleaseKV{Upstream: rs.hosted.prefillEngine.ID, Addr: rs.hosted.prefillEngine.Addr, KV: rs.kv})
	rs.kv = ""
}
