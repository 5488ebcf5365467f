// Package evacuation tracks the data centres to whose Upstreams nothing more is to be sent. The
// platform's store lists them. A few Instances follow the list there; heartbeats pass it on with the
// revision of the store and with the age of its confirmation, so that all others notice when they
// hear nothing new and read the store themselves. It is pure: every call passes the current instant.
//
// Failures that it handles: a watch of the store that is silent, an Instance that reaches the store or
// its peers but not both, heartbeats that a partition has delayed, and a store that comes back from a
// copy that is older than an evacuation.
package evacuation

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params are the settings of a State.
type Params struct {
	// Bound is the time after which every Instance must hold to an evacuation, 0 if there are none.
	Bound time.Duration
	// Rand is the source of randomness. It is required.
	Rand *rand.Rand
}

// neverConfirmed is the instant of a confirmation that there was not.
const neverConfirmed = core.Instant(math.MinInt64 / 2)

// State is what one Instance knows of the evacuations. It is not safe for concurrent use.
type State struct {
	params Params
	// known is set once there is a list. isRecent is set once one was not older than Params.Bound.
	known    bool
	isRecent bool
	// at is the revision of the store that listed describes.
	at core.StoreRevision
	// confirmedAt is the latest instant at which listed is known to have been complete in the store.
	confirmedAt core.Instant
	// listed holds the data centres in the store, with the instant at which an Instance first knew.
	listed map[core.DataCentreName]core.Instant
	// kept holds the data centres that an earlier era of the store listed, with the end of the time
	// for which they stay in force.
	kept map[core.DataCentreName]core.Instant
	// hasKept holds the data centres that were kept once in this era. What peers report of them does
	// not count again: reports take time, so each would add to the time for which all keep them.
	hasKept map[core.DataCentreName]bool
	// era is the newest era of the store that is known.
	era     uint64
	delays  map[core.InstanceID]*delay
	reading reading
}

// New returns a State that knows nothing yet.
func New(p Params) *State {
	return &State{
		params: p, confirmedAt: neverConfirmed,
		listed: map[core.DataCentreName]core.Instant{}, kept: map[core.DataCentreName]core.Instant{}, hasKept: map[core.DataCentreName]bool{},
		delays: map[core.InstanceID]*delay{},
	}
}

// Enabled reports whether the deployment has evacuations.
func (s *State) Enabled() bool { return s.params.Bound > 0 }

// Known reports whether the evacuations have been read, here or by a peer that was not cut off from
// the store.
func (s *State) Known() bool { return s.isRecent }

// Revision returns the revision of the store that the State describes.
func (s *State) Revision() core.StoreRevision { return s.at }

// InForce reports whether nothing more is to be sent to the Upstreams of a data centre.
func (s *State) InForce(dc core.DataCentreName) bool {
	if _, found := s.listed[dc]; found {
		return true
	}
	_, found := s.kept[dc]
	return found
}

// DataCentres returns the data centres with an evacuation in force, sorted.
func (s *State) DataCentres() []core.DataCentreName {
	all := maps.Clone(s.listed)
	maps.Copy(all, s.kept)
	return slices.Sorted(maps.Keys(all))
}

// Age returns the time since the state is known to have been complete in the store, false before
// the first confirmation.
func (s *State) Age(now core.Instant) (time.Duration, bool) {
	return now.Sub(s.confirmedAt), s.confirmedAt != neverConfirmed
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventBegan EventKind = "began"
	EventEnded EventKind = "ended"
	// EventKept means that the store has come back from an older copy and that the evacuation stays
	// in force for Params.Bound in any case.
	EventKept EventKind = "kept in force after the store came back from an older copy"
)

// Event is a change of an evacuation.
type Event struct {
	Kind       EventKind
	DataCentre core.DataCentreName
	// At is the revision of the store that is known now.
	At core.StoreRevision
	// From is the peer that has reported the change, empty for the store.
	From core.InstanceID
	// Age is the time since the first Instance is known to have held to the evacuation. It is 0 if the
	// store has told, which does not state it.
	Age time.Duration
	// Unconfirmed is the time since the state before was confirmed, 0 if it never was. The evacuation
	// has begun within that time.
	Unconfirmed time.Duration
}

// Change is one change of the evacuations in the store.
type Change struct {
	DataCentre core.DataCentreName
	Removed    bool
}

// ObserveEra processes the era of any state of the store. What was in force before a new era stays in
// force for Params.Bound: the store may have lost the evacuation, and its operator does not know yet.
func (s *State) ObserveEra(now core.Instant, era uint64) []Event {
	if !s.Enabled() || era <= s.era {
		return nil
	}
	var events []Event
	clear(s.hasKept)
	if s.known {
		for _, dc := range slices.Sorted(maps.Keys(s.listed)) {
			s.kept[dc], s.hasKept[dc] = now.Add(s.params.Bound), true
			events = append(events, s.event(now, EventKept, dc, ""))
		}
		s.reading.mustList = true
		s.reading.nextCallAt = now
	}
	s.era = era
	return events
}

// Tick ends the evacuations that were only kept.
func (s *State) Tick(now core.Instant) []Event {
	if len(s.kept) == 0 || s.at.Era < s.era {
		return nil // the list of the new era decides, once it is known
	}
	var events []Event
	for _, dc := range slices.Sorted(maps.Keys(s.kept)) {
		if now < s.kept[dc] {
			continue
		}
		delete(s.kept, dc)
		if !s.InForce(dc) {
			events = append(events, s.event(now, EventEnded, dc, ""))
		}
	}
	return events
}

func (s *State) event(now core.Instant, kind EventKind, dc core.DataCentreName, from core.InstanceID) Event {
	event := Event{Kind: kind, DataCentre: dc, At: s.at, From: from}
	if s.confirmedAt != neverConfirmed {
		event.Unconfirmed = now.Sub(s.confirmedAt)
	}
	if since, found := s.listed[dc]; found {
		event.Age = now.Sub(since)
	}
	return event
}

// confirm records that the state was complete in the store at an instant. It is also valid for a
// confirmation of an earlier revision of the era: the store has reached the later one after that.
func (s *State) confirm(at core.Instant) { s.confirmedAt = max(s.confirmedAt, at) }

// replace takes over the list of a revision, unless a later one is known.
func (s *State) replace(now core.Instant, at core.StoreRevision, listed map[core.DataCentreName]core.Instant, from core.InstanceID) []Event {
	if s.known && at.Before(s.at) {
		return nil
	}
	before, isSameEra := s.listed, s.known && at.Era == s.at.Era
	s.known, s.at, s.listed = true, at, listed
	var events []Event
	for _, dc := range slices.Sorted(maps.Keys(listed)) {
		if since, found := before[dc]; found {
			listed[dc] = min(since, listed[dc])
		} else if _, isKept := s.kept[dc]; !isKept {
			events = append(events, s.event(now, EventBegan, dc, from))
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(before)) {
		if _, found := listed[dc]; !found && isSameEra {
			delete(s.kept, dc) // removed in this era
		}
		if !s.InForce(dc) {
			events = append(events, s.event(now, EventEnded, dc, from))
		}
	}
	return events
}
