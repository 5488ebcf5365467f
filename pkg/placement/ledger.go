package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// tombstoneTTL is the time for which a release is remembered, so that a
	// reservation that it has overtaken is denied. Peer calls time out earlier.
	tombstoneTTL = 10 * time.Second
	// overdueSlotDelay is the assumed time until a slot ends that is past its estimate.
	overdueSlotDelay = 100 * time.Millisecond
)

// ledger counts the slots of one decode engine. A slot is held by an attempt in
// the report or by a grant that no reported attempt stands for yet.
type ledger struct {
	grants            map[grantKey]*grant
	tombstones        map[grantKey]bool
	tombstoneExpiries []tombstoneExpiry // the released keys, oldest first
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
	expectedStart core.Instant // when the slot is expected to be free
	expiresAt     core.Instant // unless an attempt stands for it
	expectedEnd   core.Instant // when the slot is expected to end
	matched       bool
	attempt       core.AttemptID
}

// slotTime returns the time for which the slot is expected to be used.
func (g *grant) slotTime() time.Duration { return g.expectedEnd.Sub(g.expectedStart) }

// tombstoneExpiry is the time at which a released key is forgotten.
type tombstoneExpiry struct {
	key grantKey
	at  core.Instant
}

// reportedAttempt is a reported attempt.
type reportedAttempt struct {
	firstReportedAt core.Instant
	grant           *grant
	releasedAt      core.Instant // 0 unless released since the report
}

func newLedger() *ledger {
	return &ledger{
		grants:     map[grantKey]*grant{},
		tombstones: map[grantKey]bool{},
		attempts:   map[core.AttemptID]*reportedAttempt{},
	}
}

// onReport replaces the reported attempts. Each new attempt stands for the oldest
// unbound grant of its owner; the match by owner keeps the count right without
// the ledger knowing which request the attempt belongs to.
func (l *ledger) onReport(lastGeneration uint64, r LoadReport) {
	if len(r.Attempts) == 0 && r.UsedSlots > 0 {
		return // forwarded without its list
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
			// The attempt may have stood for another grant of its owner. This one
			// ends with its release or its term.
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
			attempt.releasedAt = 0 // released, and still on the engine afterwards
		}
	}
}

// matchGrant lets a new attempt stand for a grant. The attempt started after the report
// before, which may be later than the grant expected, and it may be that of any
// grant of its owner, so its end is that of the longest one.
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

// usedSlots returns the number of slots that are held or granted.
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

// nextFreeSlot returns the expected time until a slot is free that no grant waits for.
// It plays the waiting grants forward, because a slot that ends late delays all
// that wait behind it. It reports false when too few of the ends are known.
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
			// The last report doesn't show it, so it started later at the earliest.
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

// reportedEnds returns the expected ends of the attempts that the last report shows,
// in scratch space and unordered.
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

// nextReportedFreeSlot returns the expected time until an attempt that the last report
// shows ends and leaves its slot to no grant. Only such a slot may be granted ahead.
// A grant that no report shows may still wait for its prefill, and a decode that
// takes its slot meanwhile would leave it without one for a whole use.
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

// OnReserve answers a reservation request of a peer. Only the holder of the
// engine's ledger is asked; a repeat of a granted request gets the same grant.
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

// reservationDelay returns the time until a slot of e is free for q, and whether that is
// soon enough.
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

// OnReleaseNotice ends a reservation of a peer. It may come before the
// reservation itself, and more than once.
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
