package evacuation

import (
	"maps"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Fractions of Params.Bound.
const (
	// A follower reads the store if nothing confirmed within half the bound has reached it. The other
	// half is for that read (two attempts), and for an attempt that was decided on just before. Each
	// draws the limit between these fractions, so that the first to read tells the others.
	minFollowerAge = 0.4
	maxFollowerAge = 0.5
	// The wait of a reader's watch, drawn at random so that readers do not confirm at the same time.
	// A watch that is silent ends after its wait and watchMargin, with half the bound left.
	minWatchWait = 0.3
	maxWatchWait = 0.4
	watchMargin  = 0.1
	// The wait of the watch after a change: the answer with the change confirms only the begin of
	// its watch, so the next confirmation has to come sooner.
	shortWatchWait = 0.1
	// The limit of a list doubles with each failure: a silent connection costs little of the bound,
	// and a slow store is still read.
	firstListTimeout = 0.125
	maxListTimeout   = 0.5
)

const (
	// minListInterval is the shortest time between two lists, for a store that drops its history often.
	minListInterval = 300 * time.Millisecond
	// minWait is the shortest wait of a watch, for a deployment with a very short bound.
	minWait = 200 * time.Millisecond
)

// reading tracks the calls of the store of one Instance. There is one at a time.
type reading struct {
	running    *Call
	nextCallAt core.Instant
	lastListAt core.Instant
	hasListed  bool
	// mustList is set if a watch could not tell all changes.
	mustList bool
	// hasChanged is set if the last call has told a change.
	hasChanged bool
	failures   int
	// followerAge is the age of the confirmation from which a follower reads the store.
	followerAge time.Duration
}

// Call is a call of the store that is due.
type Call struct {
	// Watch is set for a watch of the changes after a revision, for at most Wait. Otherwise the call
	// is a list.
	Watch bool
	After core.StoreRevision
	Wait  time.Duration
	// Timeout bounds the call.
	Timeout   time.Duration
	startedAt core.Instant
}

// Result is the answer of the store to a Call.
type Result struct {
	// At is the revision up to which the answer is complete.
	At core.StoreRevision
	// Listed is the answer to a list, Changes that to a watch.
	Listed  []core.DataCentreName
	Changes []Change
}

// NextCall returns the call of the store that is due now, if there is one. A reader follows the list
// all the time; others read it if they have no recent confirmation. Exactly one of OnRead,
// OnCallFailed and OnHistoryLost must follow.
func (s *State) NextCall(now core.Instant, isReader bool) (Call, bool) {
	r := &s.reading
	if !s.Enabled() || r.running != nil || now < r.nextCallAt {
		return Call{}, false
	}
	if r.followerAge == 0 {
		r.followerAge = s.between(minFollowerAge, maxFollowerAge)
	}
	if s.known && !isReader && now.Sub(s.confirmedAt) < r.followerAge {
		return Call{}, false
	}
	call := Call{startedAt: now, After: s.at, Timeout: s.listTimeout()}
	call.Watch = isReader && s.known && r.hasListed && !r.mustList && s.at.Era == s.era
	switch {
	case call.Watch && r.hasChanged:
		call.Wait = max(minWait, s.fraction(shortWatchWait))
	case call.Watch:
		call.Wait = max(minWait, s.between(minWatchWait, maxWatchWait))
	case r.hasListed && now < r.lastListAt.Add(minListInterval):
		return Call{}, false
	default:
		r.lastListAt = now
	}
	if call.Watch {
		call.Timeout = call.Wait + s.fraction(watchMargin)
	}
	r.followerAge = 0
	r.running = &call
	return call, true
}

func (s *State) fraction(f float64) time.Duration {
	return time.Duration(f * float64(s.params.Bound))
}

func (s *State) between(low, high float64) time.Duration {
	return s.fraction(low + (high-low)*s.params.Rand.Float64())
}

func (s *State) listTimeout() time.Duration {
	return min(s.fraction(firstListTimeout)<<min(s.reading.failures, 8), s.fraction(maxListTimeout))
}

// OnRead processes the answer to the last Call.
func (s *State) OnRead(now core.Instant, result Result) []Event {
	r := &s.reading
	call := r.running
	if call == nil {
		return nil
	}
	r.running, r.nextCallAt, r.failures = nil, now, 0
	r.hasChanged = len(result.Changes) > 0
	events := s.ObserveEra(now, result.At.Era)
	switch {
	case result.At.Era < s.era, call.Watch && result.At.Era != call.After.Era:
		r.mustList = true // the store does not have all changes since the revision
		return events
	case !call.Watch:
		r.hasListed, r.mustList, s.isRecent = true, false, true
		events = append(events, s.replace(now, result.At, sinceNow(now, result.Listed), "")...)
		s.confirm(call.startedAt)
		return events
	}
	confirmed := call.startedAt
	if !r.hasChanged && now.Sub(call.startedAt) >= call.Wait {
		confirmed = confirmed.Add(call.Wait) // the store has answered at the end of the wait
	}
	events = append(events, s.applyChanges(now, result)...)
	s.confirm(confirmed)
	return events
}

// applyChanges takes over the changes up to a later revision. Some of them may be known from peers
// already; the last one for a data centre decides.
func (s *State) applyChanges(now core.Instant, result Result) []Event {
	if result.At.Before(s.at) {
		return nil
	}
	listed := maps.Clone(s.listed)
	for _, change := range result.Changes {
		if change.Removed {
			delete(listed, change.DataCentre)
		} else if _, found := listed[change.DataCentre]; !found {
			listed[change.DataCentre] = now
		}
	}
	return s.replace(now, result.At, listed, "")
}

func sinceNow(now core.Instant, list []core.DataCentreName) map[core.DataCentreName]core.Instant {
	listed := make(map[core.DataCentreName]core.Instant, len(list))
	for _, dc := range list {
		listed[dc] = now
	}
	return listed
}

// OnCallFailed processes the failure of the last Call, after the wait that follows a failed call.
func (s *State) OnCallFailed(now core.Instant) {
	s.reading.running = nil
	s.reading.nextCallAt = now
	s.reading.mustList = true
	s.reading.failures++
}

// OnHistoryLost processes a watch that the store could not answer, because it no longer has the
// changes, or that was ended early.
func (s *State) OnHistoryLost(now core.Instant) {
	s.reading.running = nil
	s.reading.nextCallAt = now
	s.reading.mustList = true
}
