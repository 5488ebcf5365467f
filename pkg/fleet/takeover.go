package fleet

import (
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
	// joined is set once all Instances that may take over a share know this one. joining is the
	// instant from which its entry has been in all lists, 0 without one.
	joined  bool
	joining core.Instant
	// replaced is set if the entry replaced another: a previous incarnation may just have removed
	// the entries of all others.
	replaced bool
	// settled is the instant from which the peers' silence is judged again after a freeze.
	settled   core.Instant
	lastCheck core.Instant
	missing   bool // any peer, as reported to the others
	partial   bool // not all peers are heard by all
	// taken holds the incarnations whose shares were taken over.
	taken map[core.InstanceID]core.Incarnation
}

func newTakeOver() takeOver { return takeOver{taken: map[core.InstanceID]core.Incarnation{}} }

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

// OnStoreList processes a complete list of the store whose read began at an instant. It follows
// OnMemberList.
func (f *Fleet) OnStoreList(now, began core.Instant, members []Member) {
	t := &f.takeOver
	if !f.params.TakeOver || f.IsStaleList(began) {
		return
	}
	t.listBegan, t.entrySeen = began, 0
	listed := make(map[core.InstanceRef]bool, len(members))
	for _, m := range members {
		listed[m.Ref] = true
	}
	if listed[f.self.Ref] {
		t.entrySeen = began
		if t.joining == 0 || began.Sub(t.covered) > lease {
			t.joining = now
		}
		if began.Sub(t.covered) > lease {
			t.joined = false
		}
		t.covered = max(t.covered, began)
	} else {
		t.joining = 0
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

// OnRegistered processes the write of the own entry, which may have replaced another.
func (f *Fleet) OnRegistered(replaced bool) {
	if !f.takeOver.joined {
		f.takeOver.replaced = f.takeOver.replaced || replaced
	}
}

// SetContact records what a peer has told in a heartbeat.
func (f *Fleet) SetContact(id core.InstanceID, c Contact) {
	if p := f.peers[id]; p != nil {
		p.contact = c
	}
	if t := f.takeOver.taken; len(t) > 0 {
		if p := f.peers[id]; p != nil && p.member.Ref.Incarnation >= t[id] {
			delete(t, id) // it shares the allowances again
		}
	}
}

// ContactFor returns what a heartbeat tells a peer.
func (f *Fleet) ContactFor(now core.Instant, id core.InstanceID) Contact {
	if !f.params.TakeOver {
		return Contact{}
	}
	p := f.peers[id]
	return Contact{Missing: f.takeOver.missing, MissesYou: p != nil && p.isMissing(now)}
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
		t.joined, t.joining = false, 0
		t.settled = now.Add(helloTimeout)
	}
	t.lastCheck = now
	whole, contacts, known := true, 0, 1
	t.missing = false
	for _, p := range f.peers {
		switch {
		case p.state.Leaving:
			continue
		case p.inContact(now):
			contacts++
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
	switch {
	case t.joined:
	case known > 1 && most, known == 1 && stored && settled && !t.replaced:
		t.joined = true
	case t.joining != 0 && stored && now.Sub(t.joining) > joinDelay:
		t.joined = true
	}
	if !t.joined {
		return Claim{Until: now.Add(lease), Reason: ClaimJoining}
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
	t.joined, t.joining = false, 0
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
	if !t.joined && len(f.peers) == 0 && since >= missingListInterval {
		return true
	}
	return t.partial && since >= missingListInterval && now.Sub(t.covered) >= missingListInterval ||
		len(t.taken) > 0 && since >= takenListInterval
}

// DueRemovals returns the missing peers whose entries this Instance removes from the store now,
// sorted by name. Each entry is removed by the live Instance of the highest hash, and by one more
// for each removalRetry that it stays.
func (f *Fleet) DueRemovals(now core.Instant) []core.InstanceRef {
	t := &f.takeOver
	if !f.params.TakeOver || !t.missing || t.entrySeen == 0 || now.Sub(t.listBegan) > lease {
		return nil
	}
	var due []core.InstanceRef
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
		due = append(due, p.member.Ref)
	}
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
