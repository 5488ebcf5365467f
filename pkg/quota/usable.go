package quota

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// claim is the part of the allowances that this Instance may count on. The zero value is all of
// them without an end.
type claim struct {
	limited bool
	part    float64
	until   core.Instant
}

// SetClaim sets the part of each allowance, from 0 to 1, that this Instance and the peers that it
// hears may use together. From until on it is 0: a process that was frozen must not admit by what
// it believed before. An Instance that can't be told from a lost one has the part 0, so that
// others may use its share.
func (q *Quota[K]) SetClaim(now core.Instant, part float64, until core.Instant) {
	if q.claim.limited && q.claim.part == part && now < q.claim.until {
		q.claim.until = until
		return
	}
	q.refillAll(now)
	q.restartWindows(now)
	q.claim = claim{limited: true, part: part, until: until}
	for _, a := range q.accounts {
		a.level = min(a.level, q.usableBurst(a))
	}
	if part > 0 {
		return
	}
	// Others may use what is set aside for silent peers, too.
	for _, p := range q.peers {
		for id := range p.reserved {
			q.dropReservation(p, id)
		}
	}
}

// at returns the part at an instant.
func (c claim) at(now core.Instant) float64 {
	switch {
	case !c.limited:
		return 1
	case now >= c.until:
		return 0
	}
	return c.part
}
