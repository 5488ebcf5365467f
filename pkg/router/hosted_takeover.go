package router

import (
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// RemoveMembers marks the entries of lost Instances in the store or removes them, each only if it still
// is that of the incarnation, and lists the members then.
type RemoveMembers struct{ Removals []fleet.Removal }

func (RemoveMembers) effect() {}

// ShareKnown reports that requests no longer wait for the share of this Instance. It is sent once, after
// the first configuration is in force.
type ShareKnown struct{}

func (ShareKnown) effect() {}

const (
	// shareWaitTimeout bounds the time for which the first requests wait for the share of the
	// allowances: the store may be down.
	shareWaitTimeout = time.Second
	// shareFillTime is the time for which the buckets, which start empty, fill before the requests that
	// have waited are admitted.
	shareFillTime = 10 * time.Millisecond
)

// shareWait holds the requests that have arrived before this Instance had a share.
type shareWait struct {
	until    core.Instant // core.Never before the first configuration
	ownedAt  core.Instant
	ended    bool
	requests []Request
}

// awaitShare reports whether a request has to wait until this Instance has its share.
func (h *hosted) awaitShare(q Request) bool {
	if h.shareWait.ended || h.routing == nil {
		return false
	}
	h.shareWait.requests = append(h.shareWait.requests, q)
	return true
}

// shareWaitEnds returns the instant at which the requests that wait for the share are admitted.
func (h *hosted) shareWaitEnds() core.Instant {
	switch w := &h.shareWait; {
	case w.ended:
		return core.Never
	case w.ownedAt != 0:
		return core.Earliest(w.until, w.ownedAt.Add(shareFillTime))
	default:
		return w.until
	}
}

// tickShareWait ends the wait for the share when there is one, or at the latest after a second.
func (h *hosted) tickShareWait(now core.Instant) {
	w := &h.shareWait
	if w.ended || h.routing == nil {
		return
	}
	w.until = min(w.until, now.Add(shareWaitTimeout))
	if w.ownedAt == 0 && h.claim.Part > 0 && h.claim.Reason != fleet.ClaimJoining {
		w.ownedAt = now
	}
	if now >= w.until || w.ownedAt != 0 && now.Sub(w.ownedAt) >= shareFillTime {
		h.endShareWait(now)
	}
}

// endShareWait admits the requests that have waited for the share.
func (h *hosted) endShareWait(now core.Instant) {
	w := &h.shareWait
	if w.ended {
		return
	}
	w.ended = true
	h.emit(ShareKnown{})
	requests := w.requests
	w.requests = nil
	if w.ownedAt == 0 {
		h.recordEvent(now, "quota", "serving without a share", "waited="+shareWaitTimeout.String()+" requests="+strconv.Itoa(len(requests)))
	}
	for _, q := range requests {
		h.onRequestArrived(now, q)
	}
}

// abandonShareWait removes a request that waits for the share and whose caller has disconnected.
func (h *hosted) abandonShareWait(id core.RequestID) {
	before := len(h.shareWait.requests)
	h.shareWait.requests = slices.DeleteFunc(h.shareWait.requests, func(q Request) bool { return q.ID == id })
	if len(h.shareWait.requests) < before {
		h.emit(RequestAbandoned{Request: id})
	}
}

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
	h.tickShareWait(now)
	if peer, due := h.fleet.MembersToAsk(now); due {
		h.sendMemberNotice(now, peer, &fleet.MemberNotice{Ask: true})
	}
	if h.leaving {
		return
	}
	if h.fleet.TakeMarkDue() {
		h.emit(RegisterMember{Joined: true})
	}
	if due := h.fleet.DueRemovals(now); len(due) > 0 {
		for _, removal := range due {
			name := "marks the entry of a silent peer as lost"
			if removal.Final {
				name = "removes the entry of a lost peer"
			}
			h.recordEvent(now, "fleet", name, removal.Ref.String())
		}
		h.emit(RemoveMembers{Removals: due})
	}
	if h.fleet.ListDue(now, h.memberListAt) {
		h.listMembers(now)
	}
}

func (h *hosted) sendMemberNotice(now core.Instant, to fleet.Member, notice *fleet.MemberNotice) {
	h.emit(SendPeerMessage{To: to.Ref.ID, Addr: to.PeerAddr, Message: Message{Members: notice}, NotAfter: now.Add(peerMessageTTL)})
}

// onMemberNotice answers a peer that asks for the known Instances, or adds those that a peer knows.
func (h *hosted) onMemberNotice(now core.Instant, from core.InstanceRef, notice *fleet.MemberNotice) {
	if !notice.Ask {
		known := h.fleet.KnownCount()
		h.fleet.OnMemberNotice(now, notice)
		h.recordEvent(now, "fleet", "members from a peer", "from="+from.String()+" before="+strconv.Itoa(known)+" instances="+strconv.Itoa(h.fleet.KnownCount()))
		return
	}
	if peer, known := h.fleet.Peer(from.ID); known {
		h.sendMemberNotice(now, peer, h.fleet.MemberNotice())
	}
}

// quotaPart returns the part of the quotas that this Instance and the peers it hears may use.
func (h *hosted) quotaPart() float64 {
	if !h.params.Fleet.TakeOver {
		return 1
	}
	return h.claim.Part
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
	if contact == shared.Contact {
		return shared
	}
	own := *shared
	own.Contact = contact
	return &own
}
