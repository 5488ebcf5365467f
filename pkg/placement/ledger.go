package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// tombstoneTTL is the lifetime of the tombstone of a release, because of which a
	// reservation that the release has overtaken is denied. Calls between peers time
	// out earlier.
	tombstoneTTL = 10 * time.Second
	// overdueSlotDelay is the assumed remaining time of a slot that is still in use
	// after its expected end.
	overdueSlotDelay = 100 * time.Millisecond
)

// ledger counts the slots of one decode engine. A slot is in use if an attempt in
// the last report holds it, or if a grant is not matched with a reported attempt yet.
type ledger struct {
	grants            map[grantKey]*grant
	tombstones        map[grantKey]bool
	tombstoneExpiries []tombstoneExpiry // oldest first
	attempts          map[core.AttemptID]*reportedAttempt
	reportedAt        core.Instant
	ends              []core.Instant // scratch space
	waitingGrants     []*grant       // scratch space
}

type grantKey struct {
	owner core.InstanceRef
	nonce uint64
}

// grant is one reserved slot.
type grant struct {
	key           grantKey
	grantedAt     core.Instant
	expectedStart core.Instant // when the slot becomes free for the grant
	expiresAt     core.Instant // unless matched with an attempt
	expectedEnd   core.Instant // when the use of the slot ends
	matched       bool
	attempt       core.AttemptID // set if matched
}

// slotTime returns the expected time for which the slot is in use.
func (g *grant) slotTime() time.Duration { return g.expectedEnd.Sub(g.expectedStart) }

// tombstoneExpiry is the time at which the tombstone of a key is removed.
type tombstoneExpiry struct {
	key grantKey
	at  core.Instant
}

// reportedAttempt is an attempt that the last report lists, with its grant if known.
type reportedAttempt struct {
	firstReportedAt core.Instant
	grant           *grant
	releasedAt      core.Instant // 0 unless released after the last report
}

func newLedger() *ledger {
	return &ledger{
		grants:     map[grantKey]*grant{},
		tombstones: map[grantKey]bool{},
		attempts:   map[core.AttemptID]*reportedAttempt{},
	}
}

// onReport replaces the reported attempts. Each new attempt is matched with the
// oldest unmatched grant of its owner. The ledger doesn't know which request an
// attempt belongs to; matching by owner is enough for a correct count.
func (l *ledger) onReport(lastGeneration uint64, r LoadReport) {
	if len(r.Attempts) == 0 && r.UsedSlots > 0 {
		return // forwarded by a peer without the list of attempts
	}
	previousReportAt := l.reportedAt
	l.reportedAt = r.ObservedAt
	listed := make(map[core.AttemptID]bool, len(r.Attempts))
	for _, id := range r.Attempts {
		listed[id] = true
	}
	for id, attempt := range l.attempts {
		if listed[id] && r.Generation == lastGeneration {
			continue
		}
		if attempt.grant != nil {
			// The attempt may have belonged to another grant of its owner, so this
			// one stays until it is released or its term ends.
			attempt.grant.matched = false
		}
		delete(l.attempts, id)
	}
	for _, id := range r.Attempts {
		attempt := l.attempts[id]
		if attempt == nil {
			attempt = &reportedAttempt{firstReportedAt: r.ObservedAt}
			l.attempts[id] = attempt
			l.matchGrant(id, attempt, previousReportAt, r.ObservedAt)
		}
		if attempt.releasedAt <= r.ObservedAt {
			attempt.releasedAt = 0 // still on the engine after the release
		}
	}
}

// matchGrant matches a new attempt with the oldest unmatched grant of its owner. The
// attempt started after the previous report, which may be later than the grant
// expected, and it may belong to any grant of its owner. Its end is therefore
// expected no earlier than the longest slot time of these grants after that report.
func (l *ledger) matchGrant(id core.AttemptID, attempt *reportedAttempt, previousReportAt, reportedAt core.Instant) {
	var oldest *grant
	var longest time.Duration
	for _, g := range l.grants {
		if g.matched || g.key.owner != id.Owner || g.grantedAt > reportedAt {
			continue
		}
		longest = max(longest, g.slotTime())
		if oldest == nil || g.grantedAt < oldest.grantedAt || (g.grantedAt == oldest.grantedAt && g.key.nonce < oldest.key.nonce) {
			oldest = g
		}
	}
	if oldest == nil {
		return
	}
	oldest.matched = true
	oldest.expectedEnd = max(oldest.expectedEnd, previousReportAt.Add(longest))
	oldest.attempt = id
	attempt.grant = oldest
}

// usedSlots returns the number of slots that are in use or granted.
func (l *ledger) usedSlots(r LoadReport) int {
	n := max(len(l.attempts), r.UsedSlots+r.QueuedRequests)
	for _, attempt := range l.attempts {
		if attempt.releasedAt != 0 {
			n--
		}
	}
	for _, g := range l.grants {
		if !g.matched {
			n++
		}
	}
	return n
}

// expire removes the expired unmatched grants and tombstones.
func (l *ledger) expire(now core.Instant) {
	for key, g := range l.grants {
		if !g.matched && g.expiresAt <= now {
			delete(l.grants, key)
		}
	}
	for len(l.tombstoneExpiries) > 0 && l.tombstoneExpiries[0].at <= now {
		delete(l.tombstones, l.tombstoneExpiries[0].key)
		l.tombstoneExpiries = l.tombstoneExpiries[1:]
	}
}

// release ends the grant of key and leaves a tombstone for it.
func (l *ledger) release(now core.Instant, key grantKey) {
	if !l.tombstones[key] {
		l.tombstones[key] = true
		l.tombstoneExpiries = append(l.tombstoneExpiries, tombstoneExpiry{key: key, at: now.Add(tombstoneTTL)})
	}
	g := l.grants[key]
	if g == nil {
		return
	}
	delete(l.grants, key)
	if g.matched {
		attempt := l.attempts[g.attempt]
		attempt.grant = nil
		attempt.releasedAt = now
	}
}

// nextFreeSlot returns the expected time until a slot is free for which no grant
// waits. It simulates the waiting grants in order, because a slot that ends late
// delays all grants behind it. It reports false if too few of the ends are known.
func (l *ledger) nextFreeSlot(now core.Instant, slots int, meanSlotTime time.Duration) (time.Duration, bool) {
	l.ends = l.reportedEnds(now, meanSlotTime)
	l.waitingGrants = l.waitingGrants[:0]
	earliest := now.Add(overdueSlotDelay)
	for _, g := range l.grants {
		if !g.matched {
			l.waitingGrants = append(l.waitingGrants, g)
		}
	}
	slices.SortFunc(l.waitingGrants, func(a, b *grant) int { return cmp.Compare(a.expectedStart, b.expectedStart) })
	slices.Sort(l.ends)
	for _, g := range l.waitingGrants {
		slotTime := g.slotTime()
		if len(l.ends) < slots {
			// The attempt is not in the last report, so it started after that.
			l.ends = append(l.ends, max(g.expectedEnd, l.reportedAt.Add(slotTime), earliest))
		} else {
			first := &l.ends[len(l.ends)-slots]
			*first = first.Add(slotTime)
		}
		slices.Sort(l.ends)
	}
	if len(l.ends) < slots {
		return 0, false
	}
	return l.ends[len(l.ends)-slots].Sub(now), true
}

// reportedEnds returns the expected ends of the attempts in the last report. The
// result is unordered and valid until the next call, because it uses scratch space.
func (l *ledger) reportedEnds(now core.Instant, meanSlotTime time.Duration) []core.Instant {
	ends := l.ends[:0]
	earliest := now.Add(overdueSlotDelay)
	for _, g := range l.grants {
		if g.matched {
			ends = append(ends, max(g.expectedEnd, earliest))
		}
	}
	for _, attempt := range l.attempts {
		if attempt.grant == nil && attempt.releasedAt == 0 {
			ends = append(ends, max(attempt.firstReportedAt.Add(meanSlotTime), earliest))
		}
	}
	return ends
}

// nextReportedFreeSlot returns the expected time until the slot of a reported attempt
// is free and no grant waits for it. Only such a slot may be granted in advance. An
// unmatched grant may still wait for its prefill, and a decode that took its slot
// meanwhile would delay it by a complete slot time.
func (l *ledger) nextReportedFreeSlot(now core.Instant, slots int, meanSlotTime time.Duration) (time.Duration, bool) {
	l.ends = l.reportedEnds(now, meanSlotTime)
	unmatched := 0
	for _, g := range l.grants {
		if !g.matched {
			unmatched++
		}
	}
	next := max(0, unmatched-max(0, slots-len(l.ends)))
	if next >= len(l.ends) {
		return 0, false
	}
	slices.Sort(l.ends)
	return l.ends[next].Sub(now), true
}

// OnReserve handles a reservation request and returns the reply to it. Only the
// holder of the engine's ledger receives such requests. A repeat of a granted request
// gets the same grant. A reply that isn't granted has the expected time until a slot is
// free in FreeIn.
func (p *Placer) OnReserve(now core.Instant, from core.InstanceRef, q ReserveRequest) ReserveReply {
	reply := ReserveReply{Nonce: q.Nonce, ID: q.ID, Upstream: q.Upstream, FreeIn: p.params.MaxSlotWait}
	e := p.engines[q.Upstream]
	if e == nil || e.Leaving || e.report.Leaving {
		return reply
	}
	if e.ledger == nil {
		e.ledger = newLedger()
	}
	l := e.ledger
	l.expire(now)
	key := grantKey{owner: from, nonce: q.Nonce}
	if l.tombstones[key] {
		return reply
	}
	g := l.grants[key]
	if g == nil {
		wait, ok := p.reservationDelay(now, e, q)
		if !ok {
			reply.FreeIn = wait
			return reply
		}
		start := now.Add(wait)
		g = &grant{
			key:           key,
			grantedAt:     now,
			expectedStart: start,
			expiresAt:     start.Add(p.params.ReservationTerm),
			expectedEnd:   start.Add(q.Hold),
		}
		l.grants[key] = g
	}
	reply.Granted = true
	reply.FreeIn = max(0, g.expectedStart.Sub(now))
	reply.Term = max(0, g.expiresAt.Sub(now))
	return reply
}

// reservationDelay returns the time until a slot of e is free for q, and whether q can
// be granted. An announced reservation always can.
func (p *Placer) reservationDelay(now core.Instant, e *engine, q ReserveRequest) (time.Duration, bool) {
	slots := e.slots()
	used := e.ledger.usedSlots(e.report)
	if slots == 0 || used < slots || q.Announce {
		return 0, true
	}
	if wait, known := e.ledger.nextReportedFreeSlot(now, slots, e.service.meanSlotTime); known && wait <= q.Within {
		return wait, true
	}
	if wait, known := e.ledger.nextFreeSlot(now, slots, e.service.meanSlotTime); known {
		return wait, false
	}
	return p.params.MaxSlotWait, false
}

// OnReleaseNotice ends a reservation. The notice may arrive before the reservation
// request and more than once.
func (p *Placer) OnReleaseNotice(now core.Instant, from core.InstanceRef, n ReleaseNotice) []Output {
	e := p.engines[n.Upstream]
	if e == nil {
		return nil
	}
	if e.ledger == nil {
		e.ledger = newLedger()
	}
	e.ledger.expire(now)
	e.ledger.release(now, grantKey{owner: from, nonce: n.Nonce})
	return p.dispatchPools(now, e.service.poolsOf(e))
}
