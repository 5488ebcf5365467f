package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// maxFormerGenerations bounds the generations in a roster, and so its size in the store.
// They pile up only while more than half of a generation stays unreachable.
const maxFormerGenerations = 16

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
		m.writeTimeoutAt = core.Never
	}
	if r.Epoch < m.roster.Epoch {
		return nil
	}
	fromPeer := storeVersion == 0 && r.Epoch != 0
	if r.Epoch == m.roster.Epoch {
		if fromPeer {
			return nil
		}
		m.storeVersion = storeVersion
		m.storeVersionKnown = true
		m.planProposal(now)
		return m.resumeServing(now)
	}
	m.storeVersion = storeVersion
	m.storeVersionKnown = !fromPeer
	return m.activateRoster(now, r)
}

// resumeServing ends a stop after the list has this Instance again and the store shows
// that the roster is still the same.
func (m *Membership) resumeServing(now core.Instant) []Output {
	if !m.stopped || !m.isSelfListed() || !m.inRoster() {
		return nil
	}
	m.stopped = false
	return append([]Output{RosterInForce{Roster: m.roster}}, m.updateExpiry(now)...)
}

func (m *Membership) activateRoster(now core.Instant, r Roster) []Output {
	var out []Output
	for _, member := range r.Members {
		out = append(out, m.mergeRow(now, Row{Ref: member.Ref, Leaving: member.Leaving})...)
	}
	r.HandoverComplete = false
	m.roster = r
	m.activatedAt = now
	m.proposeAt = core.Never
	// Evidence about the previous members does not protect what this roster gives,
	// as its members can be others; the instant is computed anew.
	m.entitlementExpiry = 0
	for epoch := range m.fences {
		if !slices.ContainsFunc(r.FormerGenerations, func(g Generation) bool { return g.Epoch == epoch }) {
			delete(m.fences, epoch)
		}
	}
	m.rebuildTargets()
	out = append(out, RosterInForce{Roster: m.roster})
	if !m.inRoster() {
		out = append(out, m.stop(now, "the roster does not have this incarnation")...)
	} else if m.isSelfListed() || !m.wasListed {
		m.stopped = false
	}
	m.entitlementExpiry = m.computeExpiry(now)
	out = append(out, SetEntitlementExpiry{Until: m.entitlementExpiry})
	out = append(out, m.checkHandover(now)...)
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
	m.writeTimeoutAt = core.Never
	m.storeVersionKnown = false
	m.nextRosterReadAt = now.Add(m.p.StoreRetryInterval)
	return []Output{ReadRoster{}}
}

// planProposal plans a roster write when the members should change.
func (m *Membership) planProposal(now core.Instant) {
	if m.proposeAt != core.Never || m.writeTimeoutAt != core.Never || !m.storeVersionKnown {
		return
	}
	if !m.isSelfListed() || m.isSuperseded() {
		return
	}
	if slices.Equal(m.desiredMembers(now), m.roster.Members) {
		return
	}
	jitter := time.Duration(len(m.targets)) * proposeJitterPerMember
	jitter = min(max(jitter, minProposeJitter), maxProposeJitter)
	start := max(now, m.activatedAt.Add(minRosterAge))
	m.proposeAt = start.Add(time.Duration(m.p.Random.Int64N(int64(jitter))))
}

func (m *Membership) propose(now core.Instant) []Output {
	m.proposeAt = core.Never
	members := m.desiredMembers(now)
	if !m.storeVersionKnown || slices.Equal(members, m.roster.Members) {
		return nil
	}
	former := m.remainingFormerGenerations(now)
	if len(former) > maxFormerGenerations {
		return nil
	}
	next := Roster{Epoch: m.roster.Epoch + 1, Members: members, FormerGenerations: former}
	m.writeTimeoutAt = now.Add(m.p.StoreRetryInterval)
	return []Output{WriteRoster{Base: m.storeVersion, Roster: next}}
}

// desiredMembers returns the members that the list and the heartbeats call for.
func (m *Membership) desiredMembers(now core.Instant) []Member {
	var members []Member
	for id, l := range m.listed {
		ref, ok := m.latestRef(id)
		if !ok {
			continue
		}
		member := m.memberFor(ref, l)
		member.Leaving = m.isLeaving(member)
		members = append(members, member)
	}
	for _, member := range m.roster.Members {
		if m.isWithinListGrace(now, member.Ref.ID) {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return members
}

// memberFor returns the addresses and place of a run. A run keeps what the roster
// has, so that Instances with different sources don't overwrite each other.
func (m *Membership) memberFor(ref core.InstanceRef, l ListEntry) Member {
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

// isWithinListGrace reports whether a member that the list lacks stays for now.
func (m *Membership) isWithinListGrace(now core.Instant, id core.InstanceID) bool {
	if _, ok := m.listed[id]; ok {
		return false
	}
	since, ok := m.missingSince[id]
	return !ok || now.Sub(since) < m.p.ListGrace
}

// isSuperseded reports whether the roster has a later run of this Instance.
func (m *Membership) isSuperseded() bool {
	member, ok := m.roster.Member(m.self.Ref.ID)
	return ok && member.Ref.Incarnation > m.self.Ref.Incarnation
}

// latestRef returns the latest run of an Instance that the roster or a heartbeat showed.
func (m *Membership) latestRef(id core.InstanceID) (core.InstanceRef, bool) {
	if id == m.self.Ref.ID && !m.isSuperseded() {
		return m.self.Ref, true
	}
	if p := m.peers[id]; p != nil {
		return p.row.Ref, true
	}
	member, ok := m.roster.Member(id)
	return member.Ref, ok
}

// remainingFormerGenerations returns the generations that the next roster must carry: the
// unfinished ones of this roster and the holders of this roster itself.
func (m *Membership) remainingFormerGenerations(now core.Instant) []Generation {
	var former []Generation
	for _, g := range m.roster.FormerGenerations {
		if !m.isHandedOver(now, g) {
			former = append(former, Generation{g.Epoch, g.Size, m.remainingHolders(g)})
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

// remainingHolders returns the holders of a generation that are not known to have stopped.
func (m *Membership) remainingHolders(g Generation) []core.InstanceRef {
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

// isHandedOver reports whether the entitlements of a generation may be held by
// others: all of its holders stopped, or enough of them to deny the rest a
// majority, and the fencing wait has passed since that was seen.
func (m *Membership) isHandedOver(now core.Instant, g Generation) bool {
	remaining := len(m.remainingHolders(g))
	if remaining == 0 {
		return true
	}
	stopped := g.Size - remaining
	next := fence{reason: fenceBlockingHalf, since: now}
	wait := m.p.FenceWait
	switch blocking := (g.Size + 1) / 2; {
	case stopped >= blocking:
	case !m.allRemoved(g):
		delete(m.fences, g.Epoch)
		return false
	case stopped == 0:
		next.reason = fenceReplaced
		wait = m.p.ReplacedFenceWait
	default:
		next.reason = fenceRemoved
		wait = m.p.UnlistedFenceWait
	}
	running, ok := m.fences[g.Epoch]
	if !ok || running.reason != next.reason {
		m.fences[g.Epoch] = next
		return false
	}
	return now.Sub(running.since) >= wait
}

func (m *Membership) allRemoved(g Generation) bool {
	for _, h := range m.remainingHolders(g) {
		if !m.isRemoved(h.ID) {
			return false
		}
	}
	return len(m.listed) > 0
}

func (m *Membership) isRemoved(id core.InstanceID) bool {
	_, inList := m.listed[id]
	_, inRoster := m.roster.Member(id)
	return !inList && !inRoster
}

// fence is a running wait for a generation. Waits for different reasons don't add up.
type fence struct {
	reason fenceReason
	since  core.Instant
}

type fenceReason uint8

const (
	fenceBlockingHalf fenceReason = iota
	fenceReplaced
	fenceRemoved
)

// checkHandover announces the roster again once every earlier generation is finished.
func (m *Membership) checkHandover(now core.Instant) []Output {
	if m.roster.Epoch == 0 || m.roster.HandoverComplete {
		return nil
	}
	settled := true
	for _, g := range m.roster.FormerGenerations {
		// Every generation is looked at, so that their waits run side by side.
		settled = m.isHandedOver(now, g) && settled
	}
	if !settled {
		return nil
	}
	m.roster.HandoverComplete = true
	out := []Output{RosterInForce{Roster: m.roster}}
	for _, g := range m.roster.FormerGenerations {
		for _, h := range m.remainingHolders(g) {
			if m.isRemoved(h.ID) {
				out = append(out, IncarnationDead{Ref: h})
			}
		}
	}
	return out
}

// updateExpiry recomputes until when entitlements may be used: EntitlementTTL after the
// latest instant at which a majority of the holders was known to be at no later
// epoch. Others take over only after a blocking half has moved on and FenceWait
// has passed, which is after this instant.
func (m *Membership) updateExpiry(now core.Instant) []Output {
	until := m.computeExpiry(now)
	if until == m.entitlementExpiry || until == 0 {
		return nil
	}
	m.entitlementExpiry = until
	return []Output{SetEntitlementExpiry{Until: until}}
}

func (m *Membership) computeExpiry(now core.Instant) core.Instant {
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
		if p := m.peers[h.ID]; p != nil && p.row.Ref == h && p.epochConfirmed {
			proven = append(proven, p.epochConfirmedAt)
		}
	}
	majority := len(holders)/2 + 1
	if len(proven) < majority {
		return 0
	}
	slices.SortFunc(proven, func(a, b core.Instant) int { return cmp.Compare(b, a) })
	return max(m.entitlementExpiry, proven[majority-1].Add(m.p.EntitlementTTL))
}

func (m *Membership) isSelfListed() bool {
	_, ok := m.listed[m.self.Ref.ID]
	return ok
}
