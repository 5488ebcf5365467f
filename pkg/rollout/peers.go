package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// peerSet holds the versions that peers have recently confirmed.
type peerSet struct {
	known map[core.InstanceID]peerState
	// sorted holds the same peers by id, so that a choice does not depend on the
	// iteration order of the map.
	sorted []peerState
}

type peerState struct {
	ref       core.InstanceRef
	version   core.Version
	expiresAt core.Instant
}

// recordConfirmation records that a peer has confirmed a version. The peer is a
// source for the ttl. Confirmations of an earlier incarnation are ignored.
func (s *peerSet) recordConfirmation(now core.Instant, ref core.InstanceRef, v core.Version, ttl time.Duration) {
	old, found := s.known[ref.ID]
	if found && old.ref.Incarnation > ref.Incarnation {
		return
	}
	state := peerState{ref: ref, version: v, expiresAt: now.Add(ttl)}
	if found && old.ref == ref {
		state.version = max(state.version, old.version)
	}
	s.known[ref.ID] = state
	i, present := slices.BinarySearchFunc(s.sorted, ref.ID, func(p peerState, id core.InstanceID) int {
		return cmp.Compare(p.ref.ID, id)
	})
	if present {
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

// choose returns a random peer that has confirmed the version or a higher one, other
// than the source asked last.
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
