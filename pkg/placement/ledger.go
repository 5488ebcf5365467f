package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// releaseMemory is the time for which a release is remembered, so that a
	// reservation that it has overtaken is denied. Peer calls time out earlier.
	releaseMemory = 10 * time.Second
	// overdueFree is the assumed time until a slot ends that is past its estimate.
	overdueFree = 100 * time.Millisecond
)

// ledger counts the slots of one decode engine. A slot is held by an attempt in
// the report or by a grant that no reported attempt stands for yet.
type ledger struct {
	grants   map[grantKey]*grant
	released map[grantKey]bool
	forget   []forgetAt // the released keys, oldest first
	attempts map[core.AttemptID]*held
	asOf     core.Instant
	ends     []core.Instant // scratch space
	waiting  []*grant       // scratch space
}

type grantKey struct {
	owner core.InstanceRef
	nonce uint64
}

// grant is one reserved slot.
type grant struct {
	key     grantKey
	granted core.Instant
	start   core.Instant // when the slot is expected to be free
	expires core.Instant // unless an attempt stands for it
	end     core.Instant // when the slot is expected to end
	bound   bool
	attempt core.AttemptID
}

// use returns the time for which the slot is expected to be used.
func (g *grant) use() time.Duration { return g.end.Sub(g.start) }

// forgetAt is the time at which a released key is forgotten.
type forgetAt struct {
	key grantKey
	at  core.Instant
}

// held is a reported attempt.
type held struct {
	seen     core.Instant
	grant    *grant
	released core.Instant // 0 unless released since the report
}

func newLedger() *ledger {
	return &ledger{
		grants:   map[grantKey]*grant{},
		released: map[grantKey]bool{},
		attempts: map[core.AttemptID]*held{},
	}
}

// onReport replaces the reported attempts. Each new attempt stands for the oldest
// unbound grant of its owner; the match by owner keeps the count right without
// the ledger knowing which request the attempt belongs to.
func (l *ledger) onReport(lastGeneration uint64, r LoadReport) {
	if len(r.Attempts) == 0 && r.UsedSlots > 0 {
		return // forwarded without its list
	}
	before := l.asOf
	l.asOf = r.ObservedAt
	shown := make(map[core.AttemptID]bool, len(r.Attempts))
	for _, id := range r.Attempts {
		shown[id] = true
	}
	for id, h := range l.attempts {
		if shown[id] && r.Generation == lastGeneration {
			continue
		}
		if h.grant != nil {
			// The attempt may have stood for another grant of its owner. This one
			// ends with its release or its term.
			h.grant.bound = false
		}
		delete(l.attempts, id)
	}
	for _, id := range r.Attempts {
		h := l.attempts[id]
		if h == nil {
			h = &held{seen: r.ObservedAt}
			l.attempts[id] = h
			l.bind(id, h, before, r.ObservedAt)
		}
		if h.released <= r.ObservedAt {
			h.released = 0 // released, and still on the engine afterwards
		}
	}
}

// bind lets a new attempt stand for a grant. The attempt started after the report
// before, which may be later than the grant expected, and it may be that of any
// grant of its owner, so its end is that of the longest one.
func (l *ledger) bind(id core.AttemptID, h *held, before, asOf core.Instant) {
	var oldest *grant
	var longest time.Duration
	for _, g := range l.grants {
		if g.bound || g.key.owner != id.Owner || g.granted > asOf {
			continue
		}
		longest = max(longest, g.use())
		if oldest == nil || g.granted < oldest.granted || (g.granted == oldest.granted && g.key.nonce < oldest.key.nonce) {
			oldest = g
		}
	}
	if oldest == nil {
		return
	}
	oldest.bound = true
	oldest.end = max(oldest.end, before.Add(longest))
	oldest.attempt = id
	h.grant = oldest
}

// used returns the number of slots that are held or granted.
func (l *ledger) used(r LoadReport) int {
	n := max(len(l.attempts), r.UsedSlots+r.QueuedRequests)
	for _, h := range l.attempts {
		if h.released != 0 {
			n--
		}
	}
	for _, g := range l.grants {
		if !g.bound {
			n++
		}
	}
	return n
}

func (l *ledger) expire(now core.Instant) {
	for key, g := range l.grants {
		if !g.bound && g.expires <= now {
			delete(l.grants, key)
		}
	}
	for len(l.forget) > 0 && l.forget[0].at <= now {
		delete(l.released, l.forget[0].key)
		l.forget = l.forget[1:]
	}
}

func (l *ledger) release(now core.Instant, key grantKey) {
	if !l.released[key] {
		l.released[key] = true
		l.forget = append(l.forget, forgetAt{key: key, at: now.Add(releaseMemory)})
	}
	g := l.grants[key]
	if g == nil {
		return
	}
	delete(l.grants, key)
	if g.bound {
		h := l.attempts[g.attempt]
		h.grant = nil
		h.released = now
	}
}

// nextFree returns the expected time until a slot is free that no grant waits for.
// It plays the waiting grants forward, because a slot that ends late delays all
// that wait behind it. It reports false when too few of the ends are known.
func (l *ledger) nextFree(now core.Instant, slots int, hold time.Duration) (time.Duration, bool) {
	l.ends = l.reportedEnds(now, hold)
	l.waiting = l.waiting[:0]
	soonest := now.Add(overdueFree)
	for _, g := range l.grants {
		if !g.bound {
			l.waiting = append(l.waiting, g)
		}
	}
	slices.SortFunc(l.waiting, func(a, b *grant) int { return cmp.Compare(a.start, b.start) })
	slices.Sort(l.ends)
	for _, g := range l.waiting {
		use := g.use()
		if len(l.ends) < slots {
			// The last report doesn't show it, so it started later at the earliest.
			l.ends = append(l.ends, max(g.end, l.asOf.Add(use), soonest))
		} else {
			first := &l.ends[len(l.ends)-slots]
			*first = first.Add(use)
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
func (l *ledger) reportedEnds(now core.Instant, hold time.Duration) []core.Instant {
	ends := l.ends[:0]
	soonest := now.Add(overdueFree)
	for _, g := range l.grants {
		if g.bound {
			ends = append(ends, max(g.end, soonest))
		}
	}
	for _, h := range l.attempts {
		if h.grant == nil && h.released == 0 {
			ends = append(ends, max(h.seen.Add(hold), soonest))
		}
	}
	return ends
}

// nextReportedFree returns the expected time until an attempt that the last report
// shows ends and leaves its slot to no grant. Only such a slot may be granted ahead.
// A grant that no report shows may still wait for its prefill, and a decode that
// takes its slot meanwhile would leave it without one for a whole use.
func (l *ledger) nextReportedFree(now core.Instant, slots int, hold time.Duration) (time.Duration, bool) {
	l.ends = l.reportedEnds(now, hold)
	unbound := 0
	for _, g := range l.grants {
		if !g.bound {
			unbound++
		}
	}
	next := max(0, unbound-max(0, slots-len(l.ends)))
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
	if l.released[key] {
		return reply
	}
	g := l.grants[key]
	if g == nil {
		wait, ok := p.slotWait(now, e, q)
		if !ok {
			reply.FreeIn = wait
			return reply
		}
		start := now.Add(wait)
		g = &grant{
			key:     key,
			granted: now,
			start:   start,
			expires: start.Add(p.params.ReservationTerm),
			end:     start.Add(q.Hold),
		}
		l.grants[key] = g
	}
	reply.Granted = true
	reply.FreeIn = max(0, g.start.Sub(now))
	reply.Term = max(0, g.expires.Sub(now))
	return reply
}

// slotWait returns the time until a slot of e is free for q, and whether that is
// soon enough.
func (p *Placer) slotWait(now core.Instant, e *engine, q ReserveRequest) (time.Duration, bool) {
	slots := e.slots()
	used := e.ledger.used(e.report)
	if slots == 0 || used < slots || q.Announce {
		return 0, true
	}
	if wait, known := e.ledger.nextReportedFree(now, slots, e.service.hold); known && wait <= q.Within {
		return wait, true
	}
	if wait, known := e.ledger.nextFree(now, slots, e.service.hold); known {
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
	return p.pump(now, e.service.poolsOf(e))
}
