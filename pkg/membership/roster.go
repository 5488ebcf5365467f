package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// maxFormerGenerations bounds the former generations in a roster, and so its size
// in the store. They accumulate only while more than half of a generation stays
// unreachable.
const maxFormerGenerations = 16

// Bounds of the random delay before a proposal. A write becomes visible to the
// other Instances within about 50 ms, so 330 Instances spread over 3 s make about
// five concurrent proposals, of which one succeeds.
const (
	proposeJitterPerMember = 10 * time.Millisecond
	minProposeJitter       = 200 * time.Millisecond
	// minRosterAge lets every Instance read a roster before the next one is
	// written. An Instance that skips a roster loses its entitlements temporarily.
	minRosterAge     = time.Second
	maxProposeJitter = 3 * time.Second
)

// OnRosterRead handles a roster that was read from the store, or from a peer with
// storeVersion 0. A missing object is an empty Roster with storeVersion 0. Older
// epochs are ignored, as store reads can be stale.
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
		m.scheduleProposal(now)
		return m.resumeServing(now)
	}
	m.storeVersion = storeVersion
	m.storeVersionKnown = !fromPeer
	return m.activateRoster(now, r)
}

// resumeServing makes a stopped Instance serve again once the platform's list has
// it and a read of the store has shown that the roster is unchanged.
func (m *Membership) resumeServing(now core.Instant) []Output {
	if !m.stopped || !m.isSelfListed() || !m.inRoster() {
		return nil
	}
	m.stopped = false
	return append([]Output{ActivateRoster{Roster: m.roster}}, m.updateExpiry(now)...)
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
	// Confirmations from the previous holders say nothing about the entitlements of
	// this roster, whose holders can differ, so the expiry is computed anew.
	m.entitlementExpiry = 0
	for epoch := range m.fences {
		if !slices.ContainsFunc(r.FormerGenerations, func(g Generation) bool { return g.Epoch == epoch }) {
			delete(m.fences, epoch)
		}
	}
	m.rebuildTargets()
	out = append(out, ActivateRoster{Roster: m.roster})
	if !m.inRoster() {
		out = append(out, m.stop(now, "the roster does not have this incarnation")...)
	} else if m.isSelfListed() || !m.wasListed {
		m.stopped = false
	}
	m.entitlementExpiry = m.computeExpiry(now)
	out = append(out, SetEntitlementExpiry{Until: m.entitlementExpiry})
	out = append(out, m.checkHandover(now)...)
	m.scheduleProposal(now)
	return out
}

// inRoster reports whether the active roster has this incarnation.
func (m *Membership) inRoster() bool {
	member, ok := m.roster.Member(m.self.Ref.ID)
	return ok && member.Ref == m.self.Ref
}

// OnWriteFailed handles a conflict, an error or a missing reply of a roster write:
// the object is read again before another proposal.
func (m *Membership) OnWriteFailed(now core.Instant) []Output {
	m.writeTimeoutAt = core.Never
	m.storeVersionKnown = false
	m.nextRosterReadAt = now.Add(m.p.StoreRetryInterval)
	return []Output{ReadRoster{}}
}

// scheduleProposal schedules a roster write after a random delay when the members
// should change.
func (m *Membership) scheduleProposal(now core.Instant) {
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

// desiredMembers returns the members of the next roster according to the platform's
// list and the heartbeats.
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

// memberFor returns the roster entry of an incarnation. An entry that the roster
// already has is kept, so that Instances with different sources do not overwrite
// each other's entries.
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

// isWithinListGrace reports whether a member is missing from the platform's list
// but has not yet been so for ListGrace.
func (m *Membership) isWithinListGrace(now core.Instant, id core.InstanceID) bool {
	if _, ok := m.listed[id]; ok {
		return false
	}
	since, ok := m.missingSince[id]
	return !ok || now.Sub(since) < m.p.ListGrace
}

// isSuperseded reports whether the roster has a later incarnation of this Instance.
func (m *Membership) isSuperseded() bool {
	member, ok := m.roster.Member(m.self.Ref.ID)
	return ok && member.Ref.Incarnation > m.self.Ref.Incarnation
}

// latestRef returns the latest known incarnation of an Instance, from the roster or
// heartbeats.
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

// remainingFormerGenerations returns the former generations of the next roster:
// those of this roster that are not handed over, and the holders of this roster.
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

// holdersOf returns the incarnations that hold entitlements under a roster: the
// members that are not leaving.
func holdersOf(r Roster) []core.InstanceRef {
	var holders []core.InstanceRef
	for _, member := range r.Members {
		if !member.Leaving {
			holders = append(holders, member.Ref)
		}
	}
	return holders
}

// remainingHolders returns the holders of a generation that are not known to have
// stopped using it.
func (m *Membership) remainingHolders(g Generation) []core.InstanceRef {
	var out []core.InstanceRef
	for _, h := range g.Holders {
		if !m.hasStopped(h, g.Epoch) {
			out = append(out, h)
		}
	}
	return out
}

// hasStopped reports whether an incarnation no longer uses entitlements of the epoch
// or an earlier one: it acknowledged a later epoch, or a later incarnation replaced
// it.
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
// others. Either all of its holders have stopped, or the rest is fenced: its holders
// can't reach a majority or were removed, and the fencing wait has passed since this
// Instance first saw that.
func (m *Membership) isHandedOver(now core.Instant, g Generation) bool {
	remaining := len(m.remainingHolders(g))
	if remaining == 0 {
		return true
	}
	stopped := g.Size - remaining
	current := fence{reason: fenceBlockingHalf, since: now}
	wait := m.p.FenceWait
	switch blocking := (g.Size + 1) / 2; {
	case stopped >= blocking:
	case !m.allRemoved(g):
		delete(m.fences, g.Epoch)
		return false
	case stopped == 0:
		current.reason = fenceReplaced
		wait = m.p.ReplacedFenceWait
	default:
		current.reason = fenceRemoved
		wait = m.p.UnlistedFenceWait
	}
	running, ok := m.fences[g.Epoch]
	if !ok || running.reason != current.reason {
		m.fences[g.Epoch] = current
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

// fence is the fencing wait of a generation. A wait for another reason starts anew.
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

// checkHandover returns the roster again, with HandoverComplete, once every former
// generation is handed over.
func (m *Membership) checkHandover(now core.Instant) []Output {
	if m.roster.Epoch == 0 || m.roster.HandoverComplete {
		return nil
	}
	complete := true
	for _, g := range m.roster.FormerGenerations {
		// Evaluates every generation, so that the fencing waits run concurrently.
		complete = m.isHandedOver(now, g) && complete
	}
	if !complete {
		return nil
	}
	m.roster.HandoverComplete = true
	out := []Output{ActivateRoster{Roster: m.roster}}
	for _, g := range m.roster.FormerGenerations {
		for _, h := range m.remainingHolders(g) {
			if m.isRemoved(h.ID) {
				out = append(out, IncarnationDead{Ref: h})
			}
		}
	}
	return out
}

// updateExpiry recomputes the instant until which this Instance may use its
// entitlements: EntitlementTTL after the latest instant at which a majority of the
// holders was known to be at no later epoch. Others use them only after at least half
// of the holders have stopped and FenceWait has passed, which is after this instant.
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
	var confirmedAt []core.Instant
	for _, h := range holders {
		if h == m.self.Ref {
			confirmedAt = append(confirmedAt, now)
			continue
		}
		if p := m.peers[h.ID]; p != nil && p.row.Ref == h && p.epochConfirmed {
			confirmedAt = append(confirmedAt, p.epochConfirmedAt)
		}
	}
	majority := len(holders)/2 + 1
	if len(confirmedAt) < majority {
		return 0
	}
	slices.SortFunc(confirmedAt, func(a, b core.Instant) int { return cmp.Compare(b, a) })
	return max(m.entitlementExpiry, confirmedAt[majority-1].Add(m.p.EntitlementTTL))
}

func (m *Membership) isSelfListed() bool {
	_, ok := m.listed[m.self.Ref.ID]
	return ok
}
