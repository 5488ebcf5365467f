package limits

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// maxRosterHistory bounds the remembered rosters. At 620 roster changes a day, 16 cover
// over half an hour; an account that needs longer to fill its bucket starts lower.
const maxRosterHistory = 16

// maxPendingRosters bounds the memory when no roster settles for hours, because more
// than half of a generation is unreachable. All entitlements are dropped then.
const maxPendingRosters = 4 * maxRosterHistory

// HomeSet returns the home set of an account; see membership.HomeSet.
func HomeSet(roster membership.Roster, account core.AccountID, k int) []core.InstanceID {
	return membership.HomeSet(roster, account, k)
}

// share is an Instance's part of an account: one of k equal parts, and by rank
// one of the units that don't divide by k. The zero share is nothing.
type share struct {
	parts int
	index int
}

// smallerShare returns the smallerShare of two shares.
func smallerShare(a, b share) share {
	switch {
	case a.parts == 0 || b.parts == 0:
		return share{}
	case a.parts != b.parts:
		if a.parts > b.parts {
			return a
		}
		return b
	case a.index > b.index:
		return a
	}
	return b
}

// capacity returns the share's part of a burst. The parts of a home set add up
// to the burst exactly.
func (s share) capacity(burst Units) Units {
	if s.parts == 0 {
		return 0
	}
	part := burst / Units(s.parts)
	if Units(s.index) < burst%Units(s.parts) {
		part++
	}
	return part
}

// adoptedRoster is a roster that this Instance adopted. Until from, the Instance uses the
// smallest of this and the earlier shares; from that instant, all former holders
// have stopped and their loans are over. A roster that never settled has
// from == Never.
type adoptedRoster struct {
	roster      membership.Roster
	effectiveAt core.Instant
	empty       bool // stands for holding nothing
}

// shareUnder returns this Instance's share of an account under one roster.
func (l *Limiter) shareUnder(h *adoptedRoster, id core.AccountID) share {
	if h.empty {
		return share{}
	}
	member, ok := h.roster.Member(l.self.ID)
	if !ok || member.Ref != l.self {
		return share{}
	}
	home := HomeSet(h.roster, id, l.params.HomeSize)
	rank := slices.Index(home, l.self.ID)
	if rank < 0 {
		return share{}
	}
	return share{parts: len(home), index: rank}
}

// currentShare returns the smallest share under the rosters from the one in
// effect to the latest.
func (l *Limiter) currentShare(id core.AccountID) share {
	result := l.shareUnder(&l.history[l.effective], id)
	for i := l.effective + 1; i < len(l.history); i++ {
		result = smallerShare(result, l.shareUnder(&l.history[i], id))
	}
	return result
}

// shareHeldSince returns since when this Instance has held at least the share, going
// back no further than needed.
func (l *Limiter) shareHeldSince(id core.AccountID, s share, need core.Instant) core.Instant {
	since := core.Never
	for i := len(l.history) - 1; i >= 0; i-- {
		h := &l.history[i]
		if smallerShare(l.shareUnder(h, id), s) != s {
			break
		}
		if i <= l.effective && h.effectiveAt != core.Never {
			since = h.effectiveAt
		}
		if since <= need {
			break
		}
	}
	return since
}

// SetRoster takes a roster from membership.RosterInForce. It must be called in
// the step in which membership returned it, before the epoch is acknowledged.
func (l *Limiter) SetRoster(now core.Instant, r membership.Roster) {
	l.advance(now)
	last := &l.history[len(l.history)-1]
	if !last.empty && r.Epoch < last.roster.Epoch {
		return
	}
	if last.empty || r.Epoch > last.roster.Epoch {
		l.adopt(now, r)
	}
	last = &l.history[len(l.history)-1]
	if r.HandoverComplete && last.effectiveAt == core.Never {
		last.effectiveAt = now.Add(l.loanDrainWait())
	}
}

func (l *Limiter) adopt(now core.Instant, r membership.Roster) {
	previous := &l.history[len(l.history)-1]
	skipped := !previous.empty && r.Epoch != previous.roster.Epoch+1
	// The holders under a skipped roster may use what it gave them until they adopt
	// a later one. After a lapsed hold there is nothing to drop: others could take
	// what the next roster doesn't give this Instance, and no more.
	if skipped || len(l.history) >= maxPendingRosters {
		l.dropEntitlements(now)
	}
	l.history = append(l.history, adoptedRoster{roster: r, effectiveAt: core.Never})
	latest := &l.history[len(l.history)-1]
	for id, b := range l.buckets {
		b.advance(now)
		b.setShare(smallerShare(b.share, l.shareUnder(latest, id)))
		b.homeSet = HomeSet(r, id, l.params.HomeSize)
	}
	if len(l.history) > maxRosterHistory && l.effective > 0 {
		l.history = slices.Delete(l.history, 0, 1)
		l.effective--
	}
}

// dropEntitlements forgets all shares. They come back with a settled roster.
func (l *Limiter) dropEntitlements(now core.Instant) {
	l.history = []adoptedRoster{{empty: true, effectiveAt: now}}
	l.effective = 0
	for _, b := range l.buckets {
		b.advance(now)
		b.reserved = 0
		b.setShare(share{})
	}
	for _, p := range l.pending {
		p.entitlementLost = p.entitlementLost || p.reserved > 0
		p.reserved = 0
	}
}

// loanDrainWait is the wait between the end of the former holders' entitlements and
// the first refill: the loans of a former holder must be over. The clocks may be
// 1% off each.
func (l *Limiter) loanDrainWait() time.Duration {
	return l.params.LoanTerm * 103 / 100
}

// advance lets the rosters whose instant has come take effect.
func (l *Limiter) advance(now core.Instant) {
	for i := l.effective + 1; i < len(l.history); i++ {
		at := l.history[i].effectiveAt
		if at > now {
			continue
		}
		l.effective = i
		for id, b := range l.buckets {
			b.advance(at)
			b.setShare(l.currentShare(id))
		}
	}
}
