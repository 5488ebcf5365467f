package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// The shares of lost Instances are taken over as docs/design/quota-after-losses.md states and
// proves: a survivor removes the entry of a silent peer from the store. A peer that is alive sees
// that within its lease and writes the entry again; one that does not see it has no share left
// when the survivors take the share over.
const (
	// lease is the time for which a share is kept after the beginning of the last list of the
	// store that held the own entry, or after the last instant at which all peers were heard. It
	// spans two lists while a peer is missing.
	lease = 3 * time.Second
	// missingListInterval is the interval between lists of the store while a peer is missing.
	missingListInterval = 1200 * time.Millisecond
	// takenListInterval is that after shares were taken over: a list that is older than
	// takenListTTL may lack the entry of a returned Instance that is about to use its share.
	takenListInterval = 8 * time.Second
	takenListTTL      = joinDelay - 500*time.Millisecond
	// takeOverMargin covers the time that a message or an answer of the store takes, and clocks
	// that differ by a hundredth.
	takeOverMargin = 900 * time.Millisecond
	// gossipDelay is the time in which the members of a DataCentre tell a remote peer that they
	// miss one of theirs. Together they send to it often.
	gossipDelay = 500 * time.Millisecond
	// minSilenceNotice is the least time for which silence is not noticed.
	minSilenceNotice = 500 * time.Millisecond
	// helloTimeout is the time in which a live peer answers the first heartbeat. It answers at
	// once; the rest is for a busy machine.
	helloTimeout = 1200 * time.Millisecond
	// removalTimeout is the time without heartbeats of a peer that was heard before, after which
	// its entry is removed. Shorter freezes cost no calls.
	removalTimeout = 2500 * time.Millisecond
	// ownedPart is the part of the known Instances with which an Instance without a share must be in
	// contact, one with a share among them, to have one at once. The others learn of it from the store
	// within lease of noticing that they do not hear the rest. Until then the sum of all shares exceeds
	// the whole by less than a fifth, however many join.
	ownedPart = 0.8
	// freshListInterval is the shortest interval between two lists that decide on a takeover.
	freshListInterval = 300 * time.Millisecond
	// joinDelay is longer than the interval between two lists of any Instance, so that all that
	// reach the store know the entry of this one by then.
	joinDelay = 11 * time.Second
	// removalRetry is the time after which an entry is removed by one more Instance.
	removalRetry = 3 * time.Second
	// maxRemovals bounds the entries that one Instance removes in a check.
	maxRemovals = 100
	// firstRemovalBackoff and maxRemovalBackoff bound the time for which the entry of a peer that
	// wrote it again is left alone: it is cut off and not lost.
	firstRemovalBackoff = 10 * time.Second
	maxRemovalBackoff   = 160 * time.Second
	// minorityPart is the part of the allowances that survivors use after they have taken over
	// the shares of at least as many peers as there are survivors. Peers that hear most of the
	// others but do not reach the store use storelessPart: to these survivors they look lost. The
	// sum exceeds the whole by half of the platform's overage of a tenth; the other half is left
	// for what arrives between two reports.
	minorityPart  = 0.85
	storelessPart = 0.2
)

// Contact is what a heartbeat tells one peer about the contact of its sender.
type Contact struct {
	// Missing is set if the sender misses heartbeats of any peer, and MissesYou if it misses
	// those of the receiver.
	Missing   bool
	MissesYou bool
	// Owned is set if the sender has its share. Members is a digest of the Instances that it knows.
	Owned   bool
	Members uint16
}

// Mark is what an entry in the store states beside the description of its Instance. It decides who has
// a share: no share is taken over before the entry is marked as lost, and all writes are conditional on
// the revision that was read.
type Mark struct {
	// Joined is one more than the era of the store in which the entry was written by an Instance that
	// had its share, 0 if it had none. The next incarnation inherits it. In a later era the entry may
	// come from an older copy of the store, so that others may have the share.
	Joined uint64 `json:"joined,omitempty"`
	// Lost is set by a survivor that misses the Instance. The entry is removed once the share has been
	// taken over: Instances that start meanwhile still count the lost one.
	Lost bool `json:"lost,omitempty"`
	// Left is set by an Instance that stops. The others use its share at once.
	Left bool `json:"left,omitempty"`
}

// Running reports whether the entry is not marked as that of an Instance which has ended.
func (m Mark) Running() bool { return !m.Lost && !m.Left }

// Inherited returns the mark of an entry that the Instance writes over the one read in an era. joined is
// set if the Instance had its share when it decided to write, and own if its own incarnation has written
// the entry read.
func (m Mark) Inherited(era uint64, joined, own bool) Mark {
	if m.Running() && (m.Joined == era+1 || joined && own) {
		return Mark{Joined: era + 1}
	}
	return Mark{}
}

// Removal marks the entry of an Instance as lost or, for its own one, as left. A final one removes an
// entry that is marked.
type Removal struct {
	Ref   core.InstanceRef
	Left  bool
	Final bool
}

// Mark returns the mark that an entry with another mark gets, and reports whether there is to be a change.
func (r Removal) Mark(m Mark) (Mark, bool) {
	return Mark{Lost: !r.Left, Left: r.Left}, m.Running() != r.Final
}

// Claim is the part of the shared allowances that this Instance and the peers that it hears may
// use until an instant.
type Claim struct {
	Part  float64
	Until core.Instant
	// Reason names the ground of the claim, for logs.
	Reason string
}

// Reasons of a Claim.
const (
	ClaimAllHeard  = "hears all peers"
	ClaimEntrySeen = "entry seen in the store"
	ClaimMinority  = "took over from most"
	ClaimStoreless = "without the store"
	ClaimJoining   = "entry not known to all"
	ClaimNone      = "without store and peers"
)

// takeOver is what a Fleet knows from the store about shares.
type takeOver struct {
	// listBegan is the beginning of the newest list of the store, entrySeen that of the newest
	// one if it held the own entry, else 0.
	listBegan core.Instant
	entrySeen core.Instant
	// covered is the latest instant at which the own share was confirmed.
	covered core.Instant
	// owned is set while nobody else can have the share of this Instance: its entry says so, or all
	// that may use a share know it. joining is the instant from which its entry has been in all lists,
	// 0 without one.
	owned   bool
	joining core.Instant
	// markDue is set if the own entry does not say that the share is owned.
	markDue bool
	// tombstones holds the entries marked as lost whose shares were taken over.
	tombstones map[core.InstanceRef]tombstone
	// listWanted is set if a takeover waits for a list only.
	listWanted bool
	// settled is the instant from which the peers' silence is judged again after a freeze.
	settled   core.Instant
	lastCheck core.Instant
	missing   bool // any peer, as reported to the others
	partial   bool // not all peers are heard by all
	// taken holds the incarnations whose shares were taken over, left those that have stopped.
	taken map[core.InstanceID]core.Incarnation
	left  map[core.InstanceID]core.Incarnation
}

// tombstone is an entry marked as lost: since when it has been listed, and when this Instance removed it.
type tombstone struct {
	since     core.Instant
	removedAt core.Instant
}

func newTakeOver() takeOver {
	return takeOver{taken: map[core.InstanceID]core.Incarnation{}, left: map[core.InstanceID]core.Incarnation{}}
}

// entry is what the store shows of a peer.
type entry struct {
	listed bool
	// absent is the instant from which no list has held the entry, 0 while it is listed.
	absent core.Instant
	// removedAt is the instant at which this Instance removed the entry last; removals counts the
	// removals after which the peer wrote it again at rewrittenAt.
	removedAt   core.Instant
	eligible    core.Instant // from when on the entry may be removed
	removals    int
	rewrittenAt core.Instant
}

// IsStaleList reports whether a list of the store began no later than one that was processed.
func (f *Fleet) IsStaleList(began core.Instant) bool {
	return f.params.TakeOver && began <= f.takeOver.listBegan
}

// OnStoreList processes a complete list of the store whose read began at an instant, in an era of the
// store. It follows OnMemberList.
func (f *Fleet) OnStoreList(now, began core.Instant, members []Member, marks map[core.InstanceID]Mark, era uint64) {
	t := &f.takeOver
	if !f.params.TakeOver || f.IsStaleList(began) {
		return
	}
	t.listBegan, t.entrySeen, t.listWanted = began, 0, false
	listed := make(map[core.InstanceRef]bool, len(members))
	tombstones := map[core.InstanceRef]tombstone{}
	for _, m := range members {
		mark := marks[m.Ref.ID]
		listed[m.Ref] = mark.Running()
		if mark.Left || mark.Lost && f.isFree(m.Ref) {
			tombstones[m.Ref] = tombstone{since: now}
			if known, found := t.tombstones[m.Ref]; found {
				tombstones[m.Ref] = known
			}
		}
	}
	t.tombstones = tombstones
	if listed[f.self.Ref] {
		t.entrySeen = began
		lapsed := began.Sub(t.covered) > lease
		hasMark := marks[f.self.Ref.ID].Joined == era+1
		switch {
		case hasMark && now.Sub(began) <= lease:
			t.owned = true // nobody has marked the entry as lost since
		case lapsed:
			t.owned = false
		}
		if t.joining == 0 || lapsed {
			t.joining = now
		}
		t.covered = max(t.covered, began)
		t.markDue = !hasMark
	} else {
		t.joining, t.markDue = 0, false
	}
	for _, p := range f.peers {
		p.entry.onList(now, listed[p.member.Ref])
	}
}

func (e *entry) onList(now core.Instant, listed bool) {
	switch {
	case !listed && (e.listed || e.absent == 0):
		e.absent = now
	case listed && e.absent != 0:
		e.absent = 0
		e.rewrittenAt = now
		e.removals++
	}
	e.listed = listed
}

// removable reports whether the entry may be removed again.
func (e *entry) removable(now core.Instant) bool {
	if !e.listed {
		return false
	}
	if e.removals == 0 {
		return true
	}
	return now.Sub(e.rewrittenAt) > min(firstRemovalBackoff<<min(e.removals-1, 4), maxRemovalBackoff)
}

// TakeMarkDue reports whether the own entry is to be written again to say that the share is owned. It
// does so once for each list.
func (f *Fleet) TakeMarkDue() bool {
	due := f.takeOver.owned && f.takeOver.markDue
	f.takeOver.markDue = f.takeOver.markDue && !due
	return due
}

// SetContact records what a peer has told in a heartbeat.
func (f *Fleet) SetContact(now core.Instant, id core.InstanceID, c Contact) {
	if p := f.peers[id]; p != nil {
		if p.contact.Members != c.Members {
			p.digestSince = now
		}
		p.contact = c
	}
	if t := f.takeOver.taken; len(t) > 0 {
		if p := f.peers[id]; p != nil && p.member.Ref.Incarnation >= t[id] {
			delete(t, id) // it shares the allowances again
		}
	}
}

// TakenOver returns the number of lost Instances whose shares the others use.
func (f *Fleet) TakenOver() int { return len(f.takeOver.taken) }

// isFree reports whether the share of an incarnation was taken over or given up.
func (f *Fleet) isFree(ref core.InstanceRef) bool {
	return max(f.takeOver.taken[ref.ID], f.takeOver.left[ref.ID]) >= ref.Incarnation
}

// ContactFor returns what a heartbeat tells a peer.
func (f *Fleet) ContactFor(now core.Instant, id core.InstanceID) Contact {
	if !f.params.TakeOver {
		return Contact{}
	}
	p := f.peers[id]
	return Contact{
		Missing: f.takeOver.missing, MissesYou: p != nil && p.isMissing(now),
		Owned: f.takeOver.owned && now.Sub(f.takeOver.covered) <= lease, Members: f.members.digest(),
	}
}

// isMissing reports whether no heartbeats of a running peer arrive.
func (p *peer) isMissing(now core.Instant) bool {
	if p.state.Leaving {
		return false
	}
	return p.unheard || p.silent || p.lastHeartbeat <= p.listedAt && now.Sub(p.listedAt) > helloTimeout
}

// inContact reports whether this Instance and a peer hear each other.
func (p *peer) inContact(now core.Instant) bool {
	return p.lastHeartbeat > 0 && !p.isMissing(now) && !p.contact.MissesYou
}

// UpdateClaim judges the contact to peers and the store and returns the claim that follows. It
// is due after each Tick.
func (f *Fleet) UpdateClaim(now core.Instant) Claim {
	t := &f.takeOver
	if !f.params.TakeOver {
		return Claim{Part: 1, Until: core.Never, Reason: ClaimAllHeard}
	}
	if t.lastCheck != 0 && now.Sub(t.lastCheck) > lease {
		// Heartbeats of before a freeze may still be queued, so peers are not judged by them.
		t.owned, t.joining = false, 0
		t.settled = now.Add(helloTimeout)
	}
	t.lastCheck = now
	whole, contacts, known := true, 0, 1
	owners, informed := 0, false
	t.missing = false
	for _, p := range f.peers {
		switch {
		case p.state.Leaving:
			continue
		case p.inContact(now):
			contacts++
			if p.contact.Owned {
				owners++
				informed = informed || f.members.knows(p.contact.Members)
			}
			whole = whole && !p.contact.Missing
		default:
			whole = false
		}
		known++
		t.missing = t.missing || p.isMissing(now)
	}
	settled := now >= t.settled
	t.partial = !whole
	whole = whole && settled && (len(t.taken) == 0 || t.entrySeen != 0 && now.Sub(t.entrySeen) <= takenListTTL)
	most := settled && 2*(contacts+1) > known
	stored := t.entrySeen != 0 && now.Sub(t.entrySeen) <= lease
	if owners == 0 {
		informed = t.listBegan != 0
	}
	switch {
	case t.owned || !settled:
	case known == 1:
		t.owned = stored
	case informed && (whole || owners > 0 && float64(contacts+1) >= ownedPart*float64(known)),
		t.joining != 0 && stored && now.Sub(t.joining) > joinDelay:
		t.owned = true
	}
	if !t.owned {
		part := 0.0
		if informed && most && contacts > 0 {
			part = storelessPart
		}
		return Claim{Part: part, Until: now.Add(lease), Reason: ClaimJoining}
	}
	if whole {
		t.covered = max(t.covered, now)
	}
	part, reason := 1.0, ClaimEntrySeen
	if whole {
		reason = ClaimAllHeard
	}
	if len(t.taken) >= contacts+1 {
		part, reason = minorityPart, ClaimMinority
	}
	switch {
	case now.Sub(t.covered) <= lease:
		until := t.covered.Add(lease)
		if len(t.taken) > 0 && t.entrySeen != 0 {
			until = min(until, t.entrySeen.Add(takenListTTL))
		}
		return Claim{Part: part, Until: until, Reason: reason}
	case most:
		return Claim{Part: storelessPart, Until: now.Add(lease), Reason: ClaimStoreless}
	}
	t.owned, t.joining = false, 0
	return Claim{Until: now.Add(lease), Reason: ClaimNone}
}

// silenceNotice returns the longest time from the removal of an entry until its Instance, or a peer
// that it hears, misses the one that removed it. Both ends of a lost path notice it within an
// interval of each other; the members of a DataCentre miss each other soonest.
func (f *Fleet) silenceNotice() time.Duration {
	return max(minSilenceNotice, maxMissedHeartbeats*f.localInterval(), f.remoteInterval()) + gossipDelay
}

// isGone reports whether the share of a peer is free: the peer is leaving, or neither its entry
// was listed nor a heartbeat arrived for longer than it keeps its share. Without TakeOver, a peer
// is gone when it has been silent for a timeout.
func (f *Fleet) isGone(now core.Instant, p *peer, timeout time.Duration) bool {
	last := max(p.lastHeartbeat, p.listedAt)
	switch {
	case p.state.Leaving && p.silent:
		f.takeOver.left[p.member.Ref.ID] = p.member.Ref.Incarnation
		return true
	case !f.params.TakeOver:
		return now.Sub(last) > timeout
	case p.entry.absent == 0 || now.Sub(f.takeOver.listBegan) > missingListInterval+takeOverMargin:
		return false
	}
	free := max(p.entry.absent, p.lastHeartbeat).Add(f.silenceNotice() + lease + takeOverMargin)
	if now <= free || f.takeOver.entrySeen == 0 {
		return false
	}
	if f.takeOver.listBegan <= free { // the peer may have written its entry again since
		f.takeOver.listWanted = true
		return false
	}
	f.takeOver.taken[p.member.Ref.ID] = p.member.Ref.Incarnation
	return true
}

// ListDue reports whether the store is to be listed now although the interval since the last list
// has not passed: a peer is missing.
func (f *Fleet) ListDue(now, lastList core.Instant) bool {
	t := &f.takeOver
	if !f.params.TakeOver {
		return false
	}
	since := now.Sub(lastList)
	if !t.owned && since >= missingListInterval || t.listWanted && since >= freshListInterval {
		return true
	}
	return t.partial && since >= missingListInterval && now.Sub(t.covered) >= missingListInterval ||
		len(t.taken) > 0 && since >= takenListInterval
}

// DueRemovals returns the missing peers whose entries this Instance marks as lost in the store now, and
// the lost ones whose entries it removes, sorted by name. Each is done by the live Instance of the
// highest hash, and by one more for each removalRetry that the entry stays.
func (f *Fleet) DueRemovals(now core.Instant) []Removal {
	t := &f.takeOver
	if !f.params.TakeOver || t.entrySeen == 0 {
		return nil
	}
	due := f.finalRemovals(now)
	if !t.missing || now.Sub(t.listBegan) > lease {
		return due
	}
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if !p.isMissing(now) || !p.entry.removable(now) {
			p.entry.eligible = 0
			continue
		}
		if p.entry.eligible == 0 {
			p.entry.eligible = max(now, p.lastHeartbeat.Add(removalTimeout))
		}
		if now < p.entry.eligible || p.entry.removedAt != 0 && now.Sub(p.entry.removedAt) < removalRetry {
			continue
		}
		if f.removalRank(now, id) > int(now.Sub(p.entry.eligible)/removalRetry) || len(due) == maxRemovals {
			continue
		}
		p.entry.removedAt = now
		due = append(due, Removal{Ref: p.member.Ref})
	}
	return due
}

// finalRemovals returns the entries of lost Instances whose shares were taken over.
func (f *Fleet) finalRemovals(now core.Instant) []Removal {
	t := &f.takeOver
	var due []Removal
	for ref, stone := range t.tombstones {
		if stone.removedAt != 0 && now.Sub(stone.removedAt) < removalRetry || len(due) == maxRemovals ||
			f.removalRank(now, ref.ID) > int(now.Sub(stone.since)/removalRetry) {
			continue
		}
		stone.removedAt = now
		t.tombstones[ref] = stone
		due = append(due, Removal{Ref: ref, Final: true})
	}
	slices.SortFunc(due, func(a, b Removal) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return due
}

// removalRank returns the number of live Instances that come before this one in removing an entry.
func (f *Fleet) removalRank(now core.Instant, id core.InstanceID) int {
	hash := func(by core.InstanceID) uint64 {
		return xxhash.Sum64String("remove\n" + string(id) + "\n" + string(by))
	}
	own, rank := hash(f.self.Ref.ID), 0
	for by, p := range f.peers {
		if p.inContact(now) && hash(by) > own {
			rank++
		}
	}
	return rank
}
