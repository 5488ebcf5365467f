package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// peerSet knows which peers have confirmed which version lately.
type peerSet struct {
	known map[core.InstanceID]peerState
	// sorted holds the peers that may be asked, by id, for a choice that does not
	// depend on the order of a map.
	sorted []peerState
}

type peerState struct {
	ref       core.InstanceRef
	version   core.Version
	expiresAt core.Instant
}

// recordConfirmation records a confirmation of a peer, which may be asked for a while.
func (s *peerSet) recordConfirmation(now core.Instant, ref core.InstanceRef, v core.Version, keep time.Duration) {
	old, found := s.known[ref.ID]
	if found && old.ref.Incarnation > ref.Incarnation {
		return
	}
	state := peerState{ref: ref, version: v, expiresAt: now.Add(keep)}
	if found && old.ref == ref {
		state.version = max(state.version, old.version)
	}
	s.known[ref.ID] = state
	i, there := slices.BinarySearchFunc(s.sorted, ref.ID, func(p peerState, id core.InstanceID) int {
		return cmp.Compare(p.ref.ID, id)
	})
	if there {
		s.sorted[i] = state
	} else {
		s.sorted = slices.Insert(s.sorted, i, state)
	}
	s.expire(now)
}

func (s *peerSet) expire(now core.Instant) {
	s.sorted = slices.DeleteFunc(s.sorted, func(p peerState) bool {
		if p.expiresAt > now {
			return false
		}
		delete(s.known, p.ref.ID)
		return true
	})
}

// choose returns a random peer that has confirmed the version, other than the one
// asked last.
func (s *peerSet) choose(now core.Instant, v core.Version, last Source, random *rand.Rand) (Source, bool) {
	start := 0
	if len(s.sorted) > 0 {
		start = random.IntN(len(s.sorted))
	}
	for i := range s.sorted {
		p := s.sorted[(start+i)%len(s.sorted)]
		if p.version >= v && p.expiresAt > now && p.ref != last.Peer {
			return Source{Peer: p.ref}, true
		}
	}
	return Source{}, false
}
