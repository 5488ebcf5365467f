package router

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// stopMargin is the part of the grace period reserved for the exit.
	stopMargin = 500 * time.Millisecond
	// probableAdmissionPeriod is the time after the start of a shutdown in which a request is
	// accepted if it will probably be complete before the end. Callers have asked for addresses
	// again by then. Later, only a request whose deadline is before the end is accepted: how long
	// others of its service took does not bound how long it takes.
	probableAdmissionPeriod = 2500 * time.Millisecond
	// In a short grace period, no request is accepted in the last quarter, and no stream in the
	// last half. Those whose deadline is before the end are accepted.
	finalPlainFraction  = 0.25
	finalStreamFraction = 0.5
	// finalDurationFactor is the time that is left for a request when the last one is accepted,
	// in multiples of the longest recent one of its service.
	finalDurationFactor = 1.5
	// leavingRetryAfter is the Retry-After of a leaving Instance. Another one can serve the
	// request immediately.
	leavingRetryAfter = 100 * time.Millisecond
)

// shutdown begins a graceful shutdown. Peers are notified immediately, so that no
// new address response contains this Instance. It keeps serving until the responses
// that contain it have expired and no request is active, at the latest until
// stopMargin before the end of the grace period.
func (h *hosted) shutdown(now core.Instant) {
	if h.leaving {
		return
	}
	h.leaving = true
	h.shutdownAt = now
	state := h.fleet.State()
	state.Leaving = true
	h.fleet.SetState(state)
	h.sendHeartbeats(now, h.fleet.Peers())
	h.addressesExpireAt = now.Add(addressTTLFactor*h.params.AddressTTL + stopMargin)
	h.stopAt = now.Add(h.params.GracePeriod - stopMargin)
	h.recordEvent(now, "server", "stop asked", "grace="+h.params.GracePeriod.String())
	h.emit(ShutdownStarted{})
}

// mayNotComplete reports whether a request, which has just arrived, could still be active when
// this Instance stops.
func (h *hosted) mayNotComplete(now core.Instant, rs *requestState) bool {
	if !h.leaving || rs.hosted.deadline.Add(deadlineSlack) < h.stopAt {
		return false
	}
	if now >= h.shutdownAt.Add(probableAdmissionPeriod) {
		return true
	}
	fraction := finalPlainFraction
	if rs.hosted.route.Streaming {
		fraction = finalStreamFraction
	}
	reserve := max(fraction*float64(h.params.GracePeriod), finalDurationFactor*float64(h.durations.longest(rs.hosted.service.Name)))
	return now >= h.stopAt.Add(-time.Duration(reserve))
}

// endRequests gives every request that is still active at the end of the grace period its
// final response. Waiting requests come first, so that none starts at an Upstream which the
// end of another makes free.
func (h *hosted) endRequests(now core.Instant) {
	h.endRequestsIf(now, func(rs *requestState) bool { return rs.hosted.stage == stageWaiting })
	h.endRequestsIf(now, func(*requestState) bool { return true })
}

func (h *hosted) endRequestsIf(now core.Instant, matches func(*requestState) bool) {
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		rs := h.requests[id]
		if rs == nil || !matches(rs) {
			continue
		}
		h.cancelAttempt(rs)
		h.refuseHosted(now, rs, refusalWithRetryAfter(core.CodeLeaving, "the instance stops", leavingRetryAfter))
	}
}

// checkDrained ends a graceful shutdown when no request is active and the address
// responses have expired, or at stopAt in any case. From then on no request is accepted.
func (h *hosted) checkDrained(now core.Instant) {
	if h.drained || !h.leaving {
		return
	}
	active := len(h.requests) + len(h.pending.requests) + len(h.evacuationWait.requests) + len(h.shareWait.requests)
	idle := now >= h.addressesExpireAt && active == 0
	if now >= h.addressesExpireAt {
		h.addressesExpireAt = core.Never
		h.addressesExpired = true
	}
	if now >= h.stopAt {
		h.endConfirmation(now)
		h.endEvacuationWait(now)
		h.endShareWait(now)
		h.endRequests(now)
	}
	if idle || h.addressesExpired && active == 0 || now >= h.stopAt {
		h.drained = true
		h.stopAt = now
		h.emit(Drained{})
	}
}
