package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const second = core.Instant(time.Second)

func at(era, number uint64) core.StoreRevision { return core.StoreRevision{Era: era, Number: number} }

// Guards against a follower that counts as confirmed although the peer has changes that it lacks, is in
// another era, or has sent the heartbeat long ago, and against one that calls the store while a peer
// confirms what it has.
func TestOnlyWhatAFollowerHasIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name      string
		c         Confirmation
		madeAt    core.Instant
		outcome   Outcome
		callAfter time.Duration // from the list, 0 for the draw between the limits
		complete  uint64
	}{
		{"no changes since", Confirmation{Era: 2, Changed: 90, Ahead: 30}, 10 * second, OutcomeConfirmed, 10 * time.Second, 120},
		{"older than the own state", Confirmation{Era: 2, Changed: 90, Ahead: 5}, 10 * second, OutcomeConfirmed, 10 * time.Second, 100},
		{"changes that are missing", Confirmation{Era: 2, Changed: 101, Ahead: 9}, 10 * second, OutcomeBehind, 0, 100},
		{"earlier era", Confirmation{Era: 1, Changed: 90, Ahead: 30}, 10 * second, OutcomeNone, 0, 100},
		{"later era", Confirmation{Era: 3, Changed: 90, Ahead: 30}, 10 * second, OutcomeNone, 0, 100},
		{"old", Confirmation{Era: 2, Changed: 90, Ahead: 10, AgeMS: 9990}, 10 * second, OutcomeNone, 0, 100},
		{"delayed", Confirmation{Era: 2, Changed: 90, Ahead: 10}, 0, OutcomeNone, 0, 100},
		{"made in the future", Confirmation{Era: 2, Changed: 90, Ahead: 10}, 90 * second, OutcomeConfirmed, 10 * time.Second, 100},
	} {
		is := is.New(t)
		s := New(Params{Bound: 4 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))})
		s.OnListed(at(2, 100), at(2, 100), 0)
		is.Equal(s.OnConfirmation(10*second, c.madeAt, &c.c), c.outcome) // c.name
		is.Equal(s.Complete(), at(2, c.complete))
		s.OnReady(true, false)
		_, due := s.NextCall(core.Instant(c.callAfter)+core.Instant(700*time.Millisecond), RoleFollower)
		is.True(!due)
		call, due := s.NextCall(core.Instant(c.callAfter)+2*second, RoleFollower)
		is.True(due && call.Reason == ReasonUnconfirmed && !call.List && call.After == at(2, c.complete))
	}
}

// Guards against a peer that is told it has all changes although it lacks some, whatever the History has
// dropped, and against cold times that start anew at each peer.
func TestHistoryHasAllChangesOrNone(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for range 300 {
		is := is.New(t)
		var h History
		h.Reset(at(1, 10))
		states := map[uint64]map[core.UpstreamID]int{10: {}}
		last := uint64(10)
		for range rng.IntN(200) {
			var changes []catalog.Change
			state := map[core.UpstreamID]int{}
			for id, slots := range states[last] {
				state[id] = slots
			}
			for range 1 + rng.IntN(8) {
				id := core.UpstreamID(fmt.Sprint("u", rng.IntN(30)))
				if delete(state, id); rng.IntN(3) == 0 {
					changes = append(changes, catalog.Change{ID: id})
					continue
				}
				state[id] = 1 + rng.IntN(1000)
				changes = append(changes, catalog.Change{ID: id, Upstream: &catalog.Upstream{ID: id, Slots: state[id], ColdFor: 9 * time.Second}})
			}
			last += 1 + rng.Uint64N(3)
			states[last] = state
			h.Add(second, at(1, last), changes, 0)
		}
		for from, state := range states {
			push, found := h.Since(3*second, at(1, from))
			if !found {
				is.True(from == last || from < h.start.Number)
				continue
			}
			for _, change := range push.Changes {
				if delete(state, change.ID); change.Upstream != nil {
					state[change.ID] = change.Upstream.Slots
					is.Equal(change.Upstream.ColdFor, 7*time.Second)
				}
			}
			is.Equal(push.UpTo, last)
			is.Equal(state, states[last])
		}
	}
}

func BenchmarkNextCall(b *testing.B) {
	s := New(Params{Bound: 4 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))})
	s.OnListed(at(2, 100), at(2, 100), 0)
	s.OnReady(true, false)
	for b.Loop() {
		s.NextCall(second/2, RoleFollower)
		s.OnConfirmation(second, second, &Confirmation{Era: 2, Changed: 90, Ahead: 10})
	}
}
