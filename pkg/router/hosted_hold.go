package router

import (
	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
)

// holdOutputFactor scales the caller's estimate of the output tokens for a hold. Half
// of the responses are longer than the estimate.
const holdOutputFactor = 1.6

// holdTokens returns the memory to hold for a request, in tokens.
func (rs *requestState) holdTokens() int {
	output := rs.request.MaxOutputTokens
	if expected := rs.request.ExpectedOutput; expected > 0 {
		output = min(output, int(float64(expected)*holdOutputFactor))
	}
	return rs.request.PromptTokens + output
}

func (h *hosted) acquireHold(now core.Instant, o dispatch.Hold) {
	rs := h.requests[o.ID]
	if rs == nil || h.refuseUnauthorized(now, rs) || h.refusePoison(now, rs) {
		return
	}
	rs.hosted.stage = stageHold
	rs.hosted.upstream, _ = h.catalog.Get(o.Upstream)
	term := rs.hosted.service.Engine.MaxHoldDuration
	if term == 0 || term > maxHoldDuration {
		term = maxHoldDuration
	}
	rs.hosted.holdExpiresAt = now.Add(term)
	rs.hosted.holdID, rs.hosted.holdTokens = "", o.Tokens
	h.emit(AcquireHold{
		Request: o.ID, Attempt: h.nextAttempt(rs), Upstream: o.Upstream, Addr: rs.hosted.upstream.Addr, Tokens: o.Tokens, Term: term,
	})
}

// onHoldResult continues with the prefill, or returns the request to dispatch if the
// engine did not grant the hold.
func (h *hosted) onHoldResult(now core.Instant, e HoldResult) {
	rs := h.requests[e.Request]
	if rs == nil || rs.attempt != e.Attempt || rs.hosted.stage != stageHold {
		if e.Outcome == HoldGranted {
			h.emitReleaseHold(now, nil, ReleaseHold{Upstream: e.Upstream, Addr: e.Addr, Hold: e.Hold})
		}
		return
	}
	switch e.Outcome {
	case HoldGranted:
		if h.giveUpForeignHold(now, rs, &e) {
			break
		}
		if h.isEvacuated(rs.hosted.upstream) || h.dispatch.IsReplaceable(now, e.Upstream, rs.hosted.regions()) {
			h.emitReleaseHold(now, rs, ReleaseHold{Upstream: e.Upstream, Addr: e.Addr, Hold: e.Hold})
			e.Outcome = HoldLeaving
			break
		}
		if now < rs.hosted.holdExpiresAt {
			rs.hosted.holdID = e.Hold
			h.startPrefill(now, rs)
			return
		}
		e.Outcome = HoldExpired
	case HoldUnreachable, HoldAddressReassigned:
		h.dispatch.MarkUnreachable(now, e.Upstream)
	}
	h.recordWithUpstream(now, "dispatch", "no place", rs, e.Upstream, string(e.Outcome))
	rs.hosted.stage = stageWaiting
	h.applyDispatch(now, h.dispatch.OnHoldRefused(now, e.Request))
	if h.requests[e.Request] == rs && rs.hosted.stage == stageWaiting {
		h.refuseUnauthorized(now, rs) // the configuration may have changed since the hold was asked for
	}
}

// replaceDecode places a request on another decode engine if the one that has granted its hold
// wants no requests any more, or has become cold. It reports whether it did, or has ended the request.
func (h *hosted) replaceDecode(now core.Instant, rs *requestState) bool {
	if replaced := h.replaceForeignDecode(now, rs); replaced {
		return true
	}
	up := rs.hosted.upstream.ID
	if h.mayUseHold(now, rs) {
		return false
	}
	h.recordWithUpstream(now, "dispatch", "hold given up", rs, up, h.describeUnused(now, up))
	rs.hosted.stage = stageRun
	failure := attempts.Failure{Kind: attempts.FailFull, Upstream: up, ConfirmedNotRun: true}
	if !h.allowRetry(now, rs, failure) {
		refusal := refusalWithRetryAfter(core.CodeNoCapacity, "the Upstream wants no requests for a time", h.retryAfter(now, rs))
		h.refuseHosted(now, rs, refusal)
		return true
	}
	h.retryElsewhere(now, rs, failure)
	return true
}

// emitReleaseHold releases a hold of a request, nil if that has ended, unless its engine wants no requests
// or is cold and has no room for one more: the hold expires soon.
func (h *hosted) emitReleaseHold(now core.Instant, rs *requestState, release ReleaseHold) {
	if h.mayEndHold(now, release.Upstream, rs) {
		h.emit(release)
	}
}

// releaseUnusedHold releases the hold of a request whose decode was not sent.
func (h *hosted) releaseUnusedHold(now core.Instant, rs *requestState) {
	hr := rs.hosted
	if hr.holdID != "" {
		h.emitReleaseHold(now, rs, ReleaseHold{Upstream: hr.upstream.ID, Addr: hr.upstream.Addr, Hold: hr.holdID})
		hr.holdID = ""
	}
}
