package router

import (
	"strconv"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// RemoveMembers removes the entries of lost Instances from the store, each only if it still is that
// of the incarnation, and lists the members then.
type RemoveMembers struct{ Refs []core.InstanceRef }

func (RemoveMembers) effect() {}

// MemberRegistered reports that the entry of this Instance is written, and whether it replaced one.
type MemberRegistered struct{ Replaced bool }

func (MemberRegistered) event() {}

// followShares applies what the contact to peers and to the store says about the shares of the
// allowances: which part this Instance may use, and which entries it removes.
func (h *hosted) followShares(now core.Instant) {
	if !h.params.Fleet.TakeOver {
		return
	}
	claim := h.fleet.UpdateClaim(now)
	h.quota.SetClaim(now, claim.Part, claim.Until)
	if claim.Part != h.claim.Part || claim.Reason != h.claim.Reason {
		h.logClaim(now, claim)
	}
	h.claim = claim
	if h.leaving {
		return
	}
	if due := h.fleet.DueRemovals(now); len(due) > 0 {
		for _, ref := range due {
			h.recordEvent(now, "fleet", "removes the entry of a silent peer", ref.String())
		}
		h.emit(RemoveMembers{Refs: due})
	}
	if h.fleet.ListDue(now, h.memberListAt) {
		h.listMembers(now)
	}
}

// logClaim logs a change of the claim. Hearing all peers and seeing the own entry are the same to an
// account, and alternate in a large fleet.
func (h *hosted) logClaim(now core.Instant, claim fleet.Claim) {
	if claim.Part == h.claim.Part && claim.Part == 1 {
		return
	}
	h.recordEvent(now, "quota", "claim changed", "part="+strconv.FormatFloat(claim.Part, 'f', 2, 64)+
		" before="+strconv.FormatFloat(h.claim.Part, 'f', 2, 64)+" reason="+strconv.Quote(claim.Reason)+
		" instances="+strconv.Itoa(h.fleet.KnownCount())+" live="+strconv.Itoa(h.fleet.LiveCount()))
}

// logTakenOver logs that the share of a peer is used by the survivors from now on.
func (h *hosted) logTakenOver(now core.Instant, id core.InstanceID) {
	if h.params.Fleet.TakeOver {
		h.recordEvent(now, "quota", "share taken over", "from="+string(id)+" instances="+strconv.Itoa(h.fleet.KnownCount()))
	}
}

// listMembers has the members listed now.
func (h *hosted) listMembers(now core.Instant) {
	h.memberListAt = now
	h.nextMemberListAt = now.Add(memberListInterval)
	h.emit(ListMembers{})
}

// heartbeatFor returns the heartbeat for a peer, with what it is told about the contact.
func (h *hosted) heartbeatFor(now core.Instant, to fleet.Member, shared *HostedHeartbeat) *HostedHeartbeat {
	contact := h.fleet.ContactFor(now, to.Ref.ID)
	if contact == (fleet.Contact{}) {
		return shared
	}
	own := *shared
	own.Contact = contact
	return &own
}
