package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// maxFormer bounds the generations in a roster, and so its size in the store.
// They pile up only while more than half of a generation stays unreachable.
const maxFormer = 16

// Bounds of the random wait before a proposal. A write becomes visible to the
// others within some 50 ms, so 330 Instances spread over 3 s make about five
// concurrent proposals, of which one wins.
const (
	proposeJitterPerMember = 10 * time.Millisecond
	minProposeJitter       = 200 * time.Millisecond
	// minRosterAge lets every Instance read a roster before the next one is
	// written. An Instance that skips a roster loses its entitlements for a while.
	minRosterAge     = time.Second
	maxProposeJitter = 3 * time.Second
)

// OnRosterRead takes a roster from the store, or from a peer with storeVersion 0.
// A missing object is an empty Roster with storeVersion 0. Older epochs are
// ignored: store reads can be stale.
func (m *Membership) OnRosterRead(now core.Instant, r Roster, storeVersion uint64) []Output {
	if storeVersion != 0 || r.Epoch == 0 {
		m.writing = core.Never
	}
	if r.Epoch < m.roster.Epoch {
		return nil
	}
	fromPeer := storeVersion == 0 && r.Epoch != 0
	if r.Epoch == m.roster.Epoch {
		if fromPeer {
			return nil
		}
		m.base = storeVersion
		m.baseKnown = true
		m.planProposal(now)
		return m.resume(now)
	}
	m.base = storeVersion
	m.baseKnown = !fromPeer
	return m.adopt(now, r)
}

// resume ends a stop after the list has this Instance again and the store shows
// that the roster is still the same.
func (m *Membership) resume(now core.Instant) []Output {
	if !m.stopped || !m.selfListed() || !m.inRoster() {
		return nil
	}
	m.stopped = false
	return append([]Output{RosterInForce{Roster: m.roster}}, m.updateHold(now)...)
}

func (m *Membership) adopt(now core.Instant, r Roster) []Output {
	var out []Output
	for _, member := range r.Members {
		out = append(out, m.mergeRow(now, Row{Ref: member.Ref, Leaving: member.Leaving})...)
	}
	r.HandoverComplete = false
	m.roster = r
	m.adoptedAt = now
	m.proposeAt = core.Never
	// Evidence about the previous members does not protect what this roster gives,
	// as its members can be others; the instant is computed anew.
	m.holdUntil = 0
	for epoch := range m.fencedAt {
		if !slices.ContainsFunc(r.FormerGenerations, func(g Generation) bool { return g.Epoch == epoch }) {
			delete(m.fencedAt, epoch)
		}
	}
	m.retarget()
	out = append(out, RosterInForce{Roster: m.roster})
	if !m.inRoster() {
		out = append(out, m.stop(now, "the roster does not have this incarnation")...)
	} else if m.selfListed() || !m.wasListed {
		m.stopped = false
	}
	m.holdUntil = m.computeHold(now)
	out = append(out, SetEntitlementExpiry{Until: m.holdUntil})
	out = append(out, m.settle(now)...)
	m.planProposal(now)
	return out
}

// inRoster reports whether the roster in force has this very incarnation.
func (m *Membership) inRoster() bool {
	member, ok := m.roster.Member(m.self.Ref.ID)
	return ok && member.Ref == m.self.Ref
}

// OnWriteFailed handles a conflict, an error or a lost answer of a roster write:
// the object is read again before anything else is proposed.
func (m *Membership) OnWriteFailed(now core.Instant) []Output {
	m.writing = core.Never
	m.baseKnown = false
	m.nextRead = now.Add(m.p.StoreRetryInterval)
	return []Output{ReadRoster{}}
}

// planProposal plans a roster write when the members should change.
func (m *Membership) planProposal(now core.Instant) {
	if m.proposeAt != core.Never || m.writing != core.Never || !m.baseKnown {
		return
	}
	if !m.selfListed() || m.superseded() {
		return
	}
	if slices.Equal(m.desired(now), m.roster.Members) {
		return
	}
	jitter := time.Duration(len(m.targets)) * proposeJitterPerMember
	jitter = min(max(jitter, minProposeJitter), maxProposeJitter)
	start := max(now, m.adoptedAt.Add(minRosterAge))
	m.proposeAt = start.Add(time.Duration(m.p.Random.Int64N(int64(jitter))))
}

func (m *Membership) propose(now core.Instant) []Output {
	m.proposeAt = core.Never
	members := m.desired(now)
	if !m.baseKnown || slices.Equal(members, m.roster.Members) {
		return nil
	}
	former := m.remainingFormer(now)
	if len(former) > maxFormer {
		return nil
	}
	next := Roster{Epoch: m.roster.Epoch + 1, Members: members, FormerGenerations: former}
	m.writing = now.Add(m.p.StoreRetryInterval)
	return []Output{WriteRoster{Base: m.base, Roster: next}}
}

// desired returns the members that the list and the heartbeats call for.
func (m *Membership) desired(now core.Instant) []Member {
	var members []Member
	for id, l := range m.listed {
		ref, ok := m.refOf(id)
		if !ok {
			continue
		}
		member := m.describe(ref, l)
		member.Leaving = m.isLeaving(member)
		members = append(members, member)
	}
	for _, member := range m.roster.Members {
		if m.keepUnlisted(now, member.Ref.ID) {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return members
}

// describe returns the addresses and place of a run. A run keeps what the roster
// has, so that Instances with different sources don't overwrite each other.
func (m *Membership) describe(ref core.InstanceRef, l ListEntry) Member {
	if old, ok := m.roster.Member(ref.ID); ok && old.Ref == ref {
		return old
	}
	if ref == m.self.Ref {
		return m.self
	}
	return Member{
		Ref:        ref,
		DataCentre: l.DataCentre,
		Region:     l.Region,
		PeerAddr:   l.PeerAddr,
		CallerAddr: l.CallerAddr,
	}
}

// keepUnlisted reports whether a member that the list lacks stays for now.
func (m *Membership) keepUnlisted(now core.Instant, id core.InstanceID) bool {
	if _, ok := m.listed[id]; ok {
		return false
	}
	since, ok := m.missingSince[id]
	return !ok || now.Sub(since) < m.p.ListGrace
}

// superseded reports whether the roster has a later run of this Instance.
func (m *Membership) superseded() bool {
	member, ok := m.roster.Member(m.self.Ref.ID)
	return ok && member.Ref.Incarnation > m.self.Ref.Incarnation
}

// refOf returns the latest run of an Instance that the roster or a heartbeat showed.
func (m *Membership) refOf(id core.InstanceID) (core.InstanceRef, bool) {
	if id == m.self.Ref.ID && !m.superseded() {
		return m.self.Ref, true
	}
	if p := m.peers[id]; p != nil {
		return p.row.Ref, true
	}
	member, ok := m.roster.Member(id)
	return member.Ref, ok
}

// remainingFormer returns the generations that the next roster must carry: the
// unfinished ones of this roster and the holders of this roster itself.
func (m *Membership) remainingFormer(now core.Instant) []Generation {
	var former []Generation
	for _, g := range m.roster.FormerGenerations {
		if !m.finished(now, g) {
			former = append(former, Generation{g.Epoch, g.Size, m.remaining(g)})
		}
	}
	holders := holdersOf(m.roster)
	if len(holders) > 0 {
		former = append(former, Generation{m.roster.Epoch, len(holders), holders})
	}
	return former
}

// holdersOf returns the runs that hold entitlements under a roster.
func holdersOf(r Roster) []core.InstanceRef {
	var holders []core.InstanceRef
	for _, member := range r.Members {
		if !member.Leaving {
			holders = append(holders, member.Ref)
		}
	}
	return holders
}

// remaining returns the holders of a generation that are not known to have stopped.
func (m *Membership) remaining(g Generation) []core.InstanceRef {
	var out []core.InstanceRef
	for _, h := range g.Holders {
		if !m.hasStopped(h, g.Epoch) {
			out = append(out, h)
		}
	}
	return out
}

// hasStopped reports whether a run no longer holds anything under an epoch or an
// earlier one: it acknowledged a later epoch, or a later run replaced it.
func (m *Membership) hasStopped(h core.InstanceRef, epoch core.Epoch) bool {
	if h == m.self.Ref {
		return m.roster.Epoch > epoch
	}
	if h.ID == m.self.Ref.ID {
		return m.self.Ref.Incarnation > h.Incarnation
	}
	p := m.peers[h.ID]
	if p == nil {
		return false
	}
	if p.row.Ref.Incarnation != h.Incarnation {
		return p.row.Ref.Incarnation > h.Incarnation
	}
	return p.row.Epoch > epoch
}

// finished reports whether the entitlements of a generation may be held by
// others: all of its holders stopped, or enough of them to deny the rest a
// majority, and the fencing wait has passed since that was seen.
func (m *Membership) finished(now core.Instant, g Generation) bool {
	remaining := len(m.remaining(g))
	if remaining == 0 {
		return true
	}
	stopped := g.Size - remaining
	next := fence{by: byBlockingHalf, at: now}
	wait := m.p.FenceWait
	switch blocking := (g.Size + 1) / 2; {
	case stopped >= blocking:
	case !m.allDropped(g):
		delete(m.fencedAt, g.Epoch)
		return false
	case stopped == 0:
		next.by = byReplacement
		wait = m.p.ReplacedFenceWait
	default:
		next.by = byDrop
		wait = m.p.UnlistedFenceWait
	}
	running, ok := m.fencedAt[g.Epoch]
	if !ok || running.by != next.by {
		m.fencedAt[g.Epoch] = next
		return false
	}
	return now.Sub(running.at) >= wait
}

func (m *Membership) allDropped(g Generation) bool {
	for _, h := range m.remaining(g) {
		if !m.dropped(h.ID) {
			return false
		}
	}
	return len(m.listed) > 0
}

func (m *Membership) dropped(id core.InstanceID) bool {
	_, inList := m.listed[id]
	_, inRoster := m.roster.Member(id)
	return !inList && !inRoster
}

// fence is a running wait for a generation. Waits for different reasons don't add up.
type fence struct {
	by fenceReason
	at core.Instant
}

type fenceReason uint8

const (
	byBlockingHalf fenceReason = iota
	byReplacement
	byDrop
)

// settle announces the roster again once every earlier generation is finished.
func (m *Membership) settle(now core.Instant) []Output {
	if m.roster.Epoch == 0 || m.roster.HandoverComplete {
		return nil
	}
	settled := true
	for _, g := range m.roster.FormerGenerations {
		// Every generation is looked at, so that their waits run side by side.
		settled = m.finished(now, g) && settled
	}
	if !settled {
		return nil
	}
	m.roster.HandoverComplete = true
	out := []Output{RosterInForce{Roster: m.roster}}
	for _, g := range m.roster.FormerGenerations {
		for _, h := range m.remaining(g) {
			if m.dropped(h.ID) {
				out = append(out, IncarnationDead{Ref: h})
			}
		}
	}
	return out
}

// updateHold recomputes until when entitlements may be used: EntitlementTTL after the
// latest instant at which a majority of the holders was known to be at no later
// epoch. Others take over only after a blocking half has moved on and FenceWait
// has passed, which is after this instant.
func (m *Membership) updateHold(now core.Instant) []Output {
	until := m.computeHold(now)
	if until == m.holdUntil || until == 0 {
		return nil
	}
	m.holdUntil = until
	return []Output{SetEntitlementExpiry{Until: until}}
}

func (m *Membership) computeHold(now core.Instant) core.Instant {
	if m.stopped || !m.inRoster() {
		return 0
	}
	holders := holdersOf(m.roster)
	var proven []core.Instant
	for _, h := range holders {
		if h == m.self.Ref {
			proven = append(proven, now)
			continue
		}
		if p := m.peers[h.ID]; p != nil && p.row.Ref == h && p.proven {
			proven = append(proven, p.provenAt)
		}
	}
	majority := len(holders)/2 + 1
	if len(proven) < majority {
		return 0
	}
	slices.SortFunc(proven, func(a, b core.Instant) int { return cmp.Compare(b, a) })
	return max(m.holdUntil, proven[majority-1].Add(m.p.EntitlementTTL))
}

func (m *Membership) selfListed() bool {
	_, ok := m.listed[m.self.Ref.ID]
	return ok
}
