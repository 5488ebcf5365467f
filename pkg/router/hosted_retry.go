package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// onAttemptFailed retries or ends a request whose attempt failed because the
// Upstream crashed, timed out, refused the request or responded with an error. A
// request is retried only if it certainly did not run, or if it is idempotent and the
// route's MaxUpstreams allows another Upstream. allowRetry applies the further limits.
func (h *hosted) onAttemptFailed(now core.Instant, e AttemptFailed) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil {
		return
	}
	failure := e.Failure
	h.recordFailure(now, rs, failure)
	h.emit(Observe{Observation: Observation{Service: rs.service.Name, Hosted: &HostedOutcome{Failure: failure.Kind}}})
	h.recordWithUpstream(now, "dispatch", "failed", rs, failure.Upstream, fmt.Sprintf("stage=%s kind=%s sent=%t rejected=%t began=%t runs=%d parts=%v",
		rs.hosted.stage, failure.Kind, failure.MaybeSent, failure.ConfirmedNotRun, rs.hosted.firstEventAt != 0, rs.hosted.executions, rs.request.SharedParts))
	if rs.hosted.stage == stagePrefill {
		h.onPrefillFailed(now, rs, failure)
		return
	}
	h.onRunFailed(now, rs, failure)
}

// recordFailure keeps new requests away from an Upstream that does not respond, and
// counts a crash against the fingerprint of the request that ran there.
func (h *hosted) recordFailure(now core.Instant, rs *requestState, failure attempts.Failure) {
	switch failure.Kind {
	case attempts.FailConnect:
		h.dispatch.MarkUnreachable(now, failure.Upstream)
	case attempts.FailStalled:
		h.dispatch.RecordOutcome(failure.Upstream, false)
		if rs.hosted.service.Engine != nil { // a plain service may only be slow
			h.dispatch.MarkUnreachable(now, failure.Upstream)
		}
	case attempts.FailCrashed:
		h.dispatch.RecordOutcome(failure.Upstream, false)
		if failure.MaybeSent && rs.hosted.stage == stageRun {
			h.crashing.OnCrash(now, rs.fingerprintPart(), rs.hosted.process())
			h.recordPromptCrash(now, rs)
		}
	case attempts.FailProtocolError:
		h.dispatch.RecordOutcome(failure.Upstream, false)
	}
}

// firstEventMargin is the time after the first event of a run in which a crash of the
// engine still counts as one at the begin of the run.
const firstEventMargin = 100 * time.Millisecond

// recordPromptCrash blames the parts of a prompt for the crash of an engine that was about
// to generate on it or had just begun. Streams in progress at that engine are not blamed.
func (h *hosted) recordPromptCrash(now core.Instant, rs *requestState) {
	hr := rs.hosted
	if hr.firstEventAt != 0 && now.Sub(hr.firstEventAt) > firstEventMargin {
		return
	}
	h.poison.OnCrash(now, rs.request.SharedParts, hr.process())
	h.refuseWaitingPoison(now)
}

// onPrefillFailed starts another prefill if the engine was not reached, else it
// continues without one: the decode engine computes the prefill itself.
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
	hr := rs.hosted
	if notExecuted(failure) {
		hr.executions--
	}
	if failure.MaybeSent {
		hr.deliveries++
	} else {
		h.announcements.Return(now, failure.Upstream, 1)
		// The run was the last request that a cold Upstream has room for.
		if failure.Kind == attempts.FailExpired && !h.warmup.IsCold(now, hr.upstream.ID) {
			h.releaseUnusedHold(now, rs)
		}
	}
	hr.hasUpstreamFailure = hr.hasUpstreamFailure || failure.Kind == attempts.FailProtocolError
	if !h.allowRetry(now, rs, failure) {
		if rs.firstTokenAt == 0 && hr.executions == 0 {
			h.refuseHosted(now, rs, refusalWithRetryAfter(core.CodeNoCapacity, "the Upstream refused the request", h.retryAfter(now, rs)))
			return
		}
		h.refuseHosted(now, rs, &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.MayHaveRun, Message: "the Upstream failed while it ran the request"})
		return
	}
	h.retryElsewhere(now, rs, failure)
}

// onAttemptStalled retries a request whose Upstream makes no progress. If the request can't
// be retried, the attempt goes on: the Upstream may only be slow.
func (h *hosted) onAttemptStalled(now core.Instant, e AttemptStalled) {
	rs := h.requestWithAttempt(e.Request, e.Attempt)
	if rs == nil || rs.hosted.stage != stageRun {
		return
	}
	failure := attempts.Failure{Kind: attempts.FailStalled, Upstream: rs.hosted.upstream.ID, MaybeSent: true}
	retried := h.allowRetry(now, rs, failure)
	h.recordWithUpstream(now, "dispatch", "stalled", rs, failure.Upstream, fmt.Sprintf("retried=%t began=%t runs=%d",
		retried, rs.hosted.firstEventAt != 0, rs.hosted.executions))
	if !retried {
		return
	}
	h.cancelAttempt(rs)
	h.dispatch.ObservePlain(now, rs.request.ID) // it takes at least this long
	h.recordFailure(now, rs, failure)
	h.emit(Observe{Observation: Observation{Service: rs.service.Name, Hosted: &HostedOutcome{Failure: failure.Kind}}})
	rs.hosted.deliveries++
	h.retryElsewhere(now, rs, failure)
}

// retryElsewhere submits a request again after an attempt that has ended.
func (h *hosted) retryElsewhere(now core.Instant, rs *requestState, failure attempts.Failure) {
	h.releaseKV(now, rs)
	rs.hosted.holdID = ""
	upstreamFailed := failure.Kind != attempts.FailExpired && failure.Kind != attempts.FailKVGone
	if upstreamFailed || failure.Kind == attempts.FailKVGone && !failure.ConfirmedNotRun {
		rs.avoidUpstreams = append(rs.avoidUpstreams, failure.Upstream)
	}
	h.emit(Observe{Observation: Observation{Service: rs.service.Name, Hosted: &HostedOutcome{Retried: true}}})
	h.applyDispatch(now, h.dispatch.Release(now, rs.request.ID))
	rs.hosted.stage = stageWaiting
	if !h.refuseUnauthorized(now, rs) {
		h.submit(now, rs)
	}
}

// refusedRetryAfter is the Retry-After of a request that the Upstreams refused. On a
// busy engine, a slot becomes free sooner than that.
const refusedRetryAfter = time.Second

// allowRetry reports whether a request may be retried, and deducts the retry from the
// retry budget. Attempts that reached no Upstream are bounded by maxUndelivered
// instead of the budget.
func (h *hosted) allowRetry(now core.Instant, rs *requestState, failure attempts.Failure) bool {
	hr := rs.hosted
	if now >= hr.deadline {
		return false
	}
	if !failure.MaybeSent {
		hr.undelivered++
		return hr.undelivered < maxUndelivered
	}
	if !notExecuted(failure) && !(hr.route.Idempotent() && hr.executions < hr.route.MaxUpstreams) {
		return false
	}
	if _, found := h.findPoison(now, rs); found {
		return false
	}
	if wait := h.dispatch.BackoffWait(now, hr.service.Name, hr.service.Engine != nil, hr.regions()); wait > 0 && now.Add(wait) >= hr.deadline {
		return false
	}
	return h.retry.Allow(now, hr.service.Name)
}

// releaseKV releases a KV cache that no decode engine has fetched.
func (h *hosted) releaseKV(now core.Instant, rs *requestState) {
	if rs.kv == "" {
		return
	}
	h.emitReleaseKV(now, ReleaseKV{Upstream: rs.hosted.prefillEngine.ID, Addr: rs.hosted.prefillEngine.Addr, KV: rs.kv})
	rs.kv = ""
}

func (h *hosted) emitReleaseKV(now core.Instant, release ReleaseKV) {
	if !h.mayRelease(now, release.Upstream) {
		return // the KV cache expires soon
	}
	h.announcements.Rates.Charge(now, release.Upstream, 1)
	h.emit(release)
}
