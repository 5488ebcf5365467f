package router

import (
	"maps"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/rollout"
)

// onKeyRevoked applies a revocation as soon as it is read. Requests of the key
// that have not started are refused; running ones complete.
func (r *Router) onKeyRevoked(now core.Instant, o rollout.RevokeKey) {
	r.keys.RevokeAtVersion(o.Version, o.Account, o.Key)
	r.recordEvent(now, "keys", "revoked", string(o.Account)+"."+string(o.Key))
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		rs := r.requests[id]
		if rs == nil || rs.started() {
			continue
		}
		credential := rs.request.Credential
		if credential == nil || credential.Account != o.Account || credential.Key != o.Key {
			continue
		}
		r.cancelPending(now, rs)
		r.refuse(now, rs, core.NewRefusal(core.CodeKeyRevoked, "the key was revoked while the request waited"))
	}
}

// cancelPending cancels the queued job of a request, if any, and its attempts.
func (r *Router) cancelPending(now core.Instant, rs *requestState) {
	if rs.queued {
		rs.queued = false
		r.applyPlacement(now, r.placement.CancelPending(now, rs.request.ID))
	}
	r.applyAttempts(now, r.attempts.OnCallerDisconnected(now, rs.request.ID))
}
