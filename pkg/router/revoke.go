package router

import (
	"maps"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/rollout"
)

// revoked applies a revocation at first sight. Requests of the key that have not
// been started are refused; answers that are already running finish.
func (r *Router) revoked(now core.Instant, o rollout.RevokeKey) {
	r.keys.RevokeAtVersion(o.Version, o.Account, o.Key)
	r.recordEvent(now, "keys", "revoked", string(o.Account)+"."+string(o.Key))
	for _, id := range slices.Sorted(maps.Keys(r.flows)) {
		f := r.flows[id]
		if f == nil || f.started() {
			continue
		}
		credential := f.request.Credential
		if credential == nil || credential.Account != o.Account || credential.Key != o.Key {
			continue
		}
		r.drop(now, f)
		r.refuse(now, f, core.NewRefusal(core.CodeKeyRevoked, "the key was revoked while the request waited"))
	}
}

// drop takes a request that has not been started out of placement and attempts.
func (r *Router) drop(now core.Instant, f *flow) {
	if f.queued {
		f.queued = false
		r.applyPlacement(now, r.placement.CancelPending(now, f.request.ID))
	}
	r.applyAttempts(now, r.attempts.OnCallerDisconnected(now, f.request.ID))
}
