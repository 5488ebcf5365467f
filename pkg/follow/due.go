package follow

import (
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Call is a call of the store that is due.
type Call struct {
	Reason Reason
	// List is set for a list. Otherwise the call is a watch of the changes after a revision.
	List bool
	// After is that revision at least. The caller may know a later one of the same era.
	After core.StoreRevision
	// MaxWait bounds the wait of a watch, 0 for no bound. Wait is the wait itself if it is not 0.
	MaxWait time.Duration
	Wait    time.Duration
}

// OnReady records that the next call may begin. canWatch is set if the previous one has left a revision
// from which to watch, lost if the store did not have the changes after it.
func (s *State) OnReady(canWatch, lost bool) {
	s.waiting, s.watching = true, canWatch
	s.lost = s.lost || lost
}

// NextCall returns the call that is due now, if there is one. It returns one for each OnReady.
func (s *State) NextCall(now core.Instant, role Role) (Call, bool) {
	if !s.waiting {
		return Call{}, false
	}
	call, due := s.due(now, role)
	if !due {
		return Call{}, false
	}
	s.waiting, s.limit = false, 0
	s.calls[call.Reason]++
	if call.Reason == ReasonUnconfirmed {
		s.ownCalls++
	}
	return call, true
}

func (s *State) due(now core.Instant, role Role) (Call, bool) {
	switch {
	case role == RoleAlone:
		return Call{Reason: ReasonAlone, List: !s.watching}, true
	case !s.known:
		return Call{Reason: ReasonFirst, List: !s.watching}, true
	case s.mustList:
		return Call{Reason: ReasonPaused, List: true}, true
	case s.complete.Era < s.era:
		return Call{Reason: ReasonEra, List: true}, true
	case role == RoleReader && (!s.watching || s.lost):
		return Call{Reason: ReasonReader, List: true}, true
	case role == RoleReader:
		return Call{Reason: ReasonReader, After: s.complete, MaxWait: s.readerWait()}, true
	}
	if s.limit == 0 {
		s.limit = s.drawLimit()
	}
	if now.Sub(s.confirmedAt) < s.limit {
		return Call{}, false
	}
	call := Call{Reason: ReasonUnconfirmed, List: s.lost, After: s.complete, Wait: firstWait}
	if s.ownCalls > 1 {
		call.Wait = max(firstWait, s.fraction(ownWait))
	}
	return call, true
}

// drawLimit returns the age of the last confirmation from which a follower calls the store. The density
// of the limits grows exponentially.
func (s *State) drawLimit() time.Duration {
	x := math.Log1p(s.params.Rand.Float64()*math.Expm1(limitSkew)) / limitSkew
	return s.fraction(minFollowerAge + (maxFollowerAge-minFollowerAge)*x)
}

// readerWait returns the longest wait of a reader's watch that begins now.
func (s *State) readerWait() time.Duration {
	hasChanged := s.watchedFrom != s.changed
	s.watchedFrom = s.changed
	if hasChanged {
		return s.between(minSpreadWait, maxSpreadWait)
	}
	return s.between(minReaderWait, maxReaderWait)
}

func (s *State) fraction(f float64) time.Duration {
	return time.Duration(f * float64(s.params.Bound))
}

func (s *State) between(low, high float64) time.Duration {
	return s.fraction(low + (high-low)*s.params.Rand.Float64())
}
