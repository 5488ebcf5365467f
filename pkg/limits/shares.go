package limits

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// maxRosterHistory bounds the recorded rosters. At 620 roster changes a day, 16 cover
// over half an hour. The new bucket of an account that takes longer to fill starts
// at a lower level.
const maxRosterHistory = 16

// maxPendingRosters bounds the memory when the handover of no roster completes for
// hours because more than half of a generation is unreachable. At this length of
// the history, all entitlements are dropped.
const maxPendingRosters = 4 * maxRosterHistory

// HomeSet returns the home set of an account; see membership.HomeSet.
func HomeSet(roster membership.Roster, account core.AccountID, k int) []core.InstanceID {
	return membership.HomeSet(roster, account, k)
}

// share is one of several equal parts of an account. When the units don't divide evenly,
// the parts with the lowest indexes get one more unit each. The zero share is empty.
type share struct {
	parts int
	index int
}

// smallerShare returns the smaller of two shares.
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

// capacity returns the share of a burst. The capacities of a home set add up to
// the burst exactly.
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

// adoptedRoster is a roster that this Instance adopted. Until effectiveAt, the
// Instance uses the smallest of this and the earlier shares; from that instant on,
// all former holders have stopped and their loans have expired. effectiveAt is
// Never while the handover is not complete.
type adoptedRoster struct {
	roster      membership.Roster
	effectiveAt core.Instant
	empty       bool // an entry without shares, in place of a roster
}

// shareUnder returns this Instance's share of an account under one roster.
func (l *Limiter) shareUnder(r *adoptedRoster, id core.AccountID) share {
	if r.empty {
		return share{}
	}
	member, ok := r.roster.Member(l.self.ID)
	if !ok || member.Ref != l.self {
		return share{}
	}
	home := HomeSet(r.roster, id, l.params.HomeSize)
	index := slices.Index(home, l.self.ID)
	if index < 0 {
		return share{}
	}
	return share{parts: len(home), index: index}
}

// currentShare returns the smallest share under the rosters from the effective one
// to the latest.
func (l *Limiter) currentShare(id core.AccountID) share {
	result := l.shareUnder(&l.history[l.effective], id)
	for i := l.effective + 1; i < len(l.history); i++ {
		result = smallerShare(result, l.shareUnder(&l.history[i], id))
	}
	return result
}

// shareHeldSince returns the instant since which this Instance has held at least the
// share s, or Never. It goes back no further than needed to reach earliest.
func (l *Limiter) shareHeldSince(id core.AccountID, s share, earliest core.Instant) core.Instant {
	since := core.Never
	for i := len(l.history) - 1; i >= 0; i-- {
		r := &l.history[i]
		if smallerShare(l.shareUnder(r, id), s) != s {
			break
		}
		if i <= l.effective && r.effectiveAt != core.Never {
			since = r.effectiveAt
		}
		if since <= earliest {
			break
		}
	}
	return since
}

// SetRoster applies a roster from membership.ActivateRoster. It must be called in the
// same step of the event loop in which membership returned the roster, before the
// epoch is acknowledged.
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

// adopt appends a roster to the history and limits all shares to those under it.
func (l *Limiter) adopt(now core.Instant, r membership.Roster) {
	previous := &l.history[len(l.history)-1]
	skipped := !previous.empty && r.Epoch != previous.roster.Epoch+1
	// The holders under a skipped roster may use their shares until they adopt a later
	// one. An expired entitlement alone is no reason to drop the shares: others can
	// only have got what the next roster doesn't give this Instance.
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

// dropEntitlements drops all shares and reservations. New shares take effect with the
// next roster whose handover is complete.
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

// loanDrainWait returns the wait between the end of the former holders' entitlements
// and the first refill, in which all loans of the former holders expire. Each clock
// may be off by 1%.
func (l *Limiter) loanDrainWait() time.Duration {
	return l.params.LoanTerm * 103 / 100
}

// advance makes the rosters effective whose effectiveAt has come.
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
