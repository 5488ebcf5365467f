package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Instances learn of each other from the store and from heartbeats. Two that both hear a third one, and
// of which one is turned away by the store, would never learn of each other that way and both use the
// whole of a shared allowance. Heartbeats therefore carry a digest of the Instances that the sender
// knows, and an Instance asks a peer that knows others.

// digest stands for a set of Instances. 0 is unknown.
type digest = uint16

const (
	// memberAskDelay is the time for which two sets must differ unchanged before an Instance with a
	// share asks. Sets differ for a moment whenever an Instance comes or goes.
	memberAskDelay = 3 * time.Second
	// memberAskInterval and joinAskInterval are the shortest times between two questions of an
	// Instance with a share and of one without. An answer has 33 KB at 330 Instances.
	memberAskInterval = 5 * time.Second
	joinAskInterval   = 300 * time.Millisecond
	// maxMergedSets bounds the digests that are remembered.
	maxMergedSets = 256
)

// memberSet is the set of Instances that one of them knows, itself included.
type memberSet struct {
	sum       uint64
	changedAt core.Instant
	// merged holds the sets of peers whose members this Instance has been told.
	merged  map[digest]bool
	askedAt core.Instant
}

func (s *memberSet) toggle(now core.Instant, id core.InstanceID) {
	s.sum ^= xxhash.Sum64String("member\n" + string(id))
	s.changedAt = now
}

func (s *memberSet) digest() digest { return max(1, digest(s.sum>>48)) }

// knows reports whether the members of a set are known here.
func (s *memberSet) knows(d digest) bool { return d == 0 || d == s.digest() || s.merged[d] }

// MemberNotice asks a peer for the Instances that it knows, or tells a peer of them.
type MemberNotice struct {
	Ask     bool
	Members []Member
	Digest  uint16
}

// MembersToAsk returns a peer that knows Instances which this one may not know.
func (f *Fleet) MembersToAsk(now core.Instant) (Member, bool) {
	interval := memberAskInterval
	if !f.takeOver.owned {
		interval = joinAskInterval
	}
	if !f.params.TakeOver || f.members.askedAt != 0 && now.Sub(f.members.askedAt) < interval {
		return Member{}, false
	}
	var ask *peer
	for id, p := range f.peers {
		if f.members.knows(p.contact.Members) || !p.inContact(now) || ask != nil && ask.member.Ref.ID < id {
			continue
		}
		stable := now.Sub(max(p.digestSince, f.members.changedAt)) >= memberAskDelay
		if stable || !f.takeOver.owned && p.contact.Owned {
			ask = p
		}
	}
	if ask == nil {
		return Member{}, false
	}
	f.members.askedAt = now
	return ask.member, true
}

// MemberNotice returns the answer to a question for members.
func (f *Fleet) MemberNotice() *MemberNotice {
	return &MemberNotice{Members: append(f.Peers(), f.self), Digest: f.members.digest()}
}

// OnMemberNotice processes the answer of a peer.
func (f *Fleet) OnMemberNotice(now core.Instant, notice *MemberNotice) {
	f.OnMemberList(now, f.Missed(notice.Members, nil))
	if f.members.merged == nil || len(f.members.merged) >= maxMergedSets {
		f.members.merged = map[digest]bool{}
	}
	f.members.merged[notice.Digest] = true
}

// Missed returns the members of a list without those whose shares are free. marks are those of
// the store, nil for a list of a peer. Members whose entries the store has again have returned.
func (f *Fleet) Missed(members []Member, marks map[core.InstanceID]Mark) []Member {
	if !f.params.TakeOver {
		return members
	}
	kept := make([]Member, 0, len(members))
	for _, m := range members {
		mark := marks[m.Ref.ID]
		if !mark.Left && !f.isFree(m.Ref) || marks != nil && mark.Running() {
			kept = append(kept, m)
		}
	}
	return kept
}
