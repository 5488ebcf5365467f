package router

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// stopMargin is the part of the grace period reserved for the exit.
	stopMargin = 500 * time.Millisecond
	// A leaving Instance accepts no request in the last quarter of its grace period, and no
	// stream in the last half, since it could not complete them.
	finalPlainFraction  = 0.25
	finalStreamFraction = 0.5
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
	state := h.fleet.State()
	state.Leaving = true
	h.fleet.SetState(state)
	h.sendHeartbeats(now, h.fleet.Peers())
	h.addressesExpireAt = now.Add(addressTTLFactor*h.params.AddressTTL + stopMargin)
	h.stopAt = now.Add(h.params.GracePeriod - stopMargin)
	h.recordEvent(now, "server", "stop asked", "grace="+h.params.GracePeriod.String())
	h.emit(ShutdownStarted{})
}

// acceptUntil returns the instant until which requests of a route are accepted, core.Never
// unless this Instance is leaving.
func (h *hosted) acceptUntil(route *config.HostRoute) core.Instant {
	if !h.leaving {
		return core.Never
	}
	fraction := finalPlainFraction
	if route.Streaming {
		fraction = finalStreamFraction
	}
	return h.stopAt.Add(-time.Duration(fraction * float64(h.params.GracePeriod)))
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
	active := len(h.requests) + len(h.pending.requests)
	idle := now >= h.addressesExpireAt && active == 0
	if now >= h.addressesExpireAt {
		h.addressesExpireAt = core.Never
		h.addressesExpired = true
	}
	if now >= h.stopAt {
		h.endConfirmation(now)
		h.endRequests(now)
	}
	if idle || h.addressesExpired && active == 0 || now >= h.stopAt {
		h.drained = true
		h.stopAt = now
		h.emit(Drained{})
	}
}
