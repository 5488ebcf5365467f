package router

import (
	"maps"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/rollout"
)

// onKeyRevoked applies a revocation at first sight. Requests of the key that have not
// been started are refused; answers that are already running finish.
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

// cancelPending takes a request that has not been started out of placement and attempts.
func (r *Router) cancelPending(now core.Instant, rs *requestState) {
	if rs.queued {
		rs.queued = false
		r.applyPlacement(now, r.placement.CancelPending(now, rs.request.ID))
	}
	r.applyAttempts(now, r.attempts.OnCallerDisconnected(now, rs.request.ID))
}
