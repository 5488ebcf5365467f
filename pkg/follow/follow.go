// Package follow decides when an Instance calls the store about one kind of object: the configuration,
// or the list of Upstreams. In a large fleet, a few readers of each Region watch the kind. All others
// are followers. They rely on confirmations: statements on the revision up to which a state is complete
// and on the instant as of which the store has shown that. Heartbeats carry them, and pass on what the
// sender has heard itself. A follower without a recent confirmation calls the store.
//
// It is pure: every call passes the current instant. It handles readers that are killed, frozen or turned
// away by the store, messages that are lost, repeated, delayed or out of order, a store that drops its
// history, and one that comes back from an older copy.
package follow

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Fractions of Params.Bound.
const (
	// A follower calls the store when its last confirmation is older than a limit that it draws between
	// these fractions. The other half of the bound is for its call: an attempt on a silent connection
	// (370 ms) and a second one (800 ms).
	minFollowerAge = 0.2
	maxFollowerAge = 0.5
	// The longest wait of a reader's watch, drawn at random so that the readers of a Region do not
	// confirm at the same time. A change ends the watches of all readers at once, so the wait after one
	// is drawn from a wide range. With equal ranges, all followers would miss a confirmation after each
	// change.
	minReaderWait = 0.6
	maxReaderWait = 0.9
	minSpreadWait = 0.1
	maxSpreadWait = 0.8
	// ownWait is the wait of a follower's watch from its second one in a row: no reader confirms.
	ownWait = 0.3
)

const (
	// limitSkew makes late limits more frequent than early ones: of 200 followers that miss a
	// confirmation at the same time, a few call the store in the first half of the range, and their
	// confirmations reach the others before most of them call too.
	limitSkew = 8
	// firstWait is the wait of the first watch of a follower. It only has to show whether there are
	// changes; the store answers at once if there are. With 200 ms, ten times as many followers call the
	// store before they hear of the first one's answer.
	firstWait = 20 * time.Millisecond
	// hopMargin is added to the age of each confirmation from a peer. The instant at which a heartbeat
	// was made is known up to the shortest transit, 0.2 to 1.4 ms within a Region.
	hopMargin = 5 * time.Millisecond
	// maxDrift bounds the error of a clock, as for heartbeats.
	maxDrift = 1e-3
)

// SmallFleet is the largest number of live Instances in which each one watches the store itself.
const SmallFleet = 8

// Role is the part of an Instance in following the store.
type Role int

// The roles. With RoleAlone the Instance watches the store as if nobody relied on it.
const (
	RoleAlone Role = iota
	RoleReader
	RoleFollower
)

// RoleOf returns the role of an Instance that sees a number of live Instances.
func RoleOf(liveInstances int, isReader bool) Role {
	switch {
	case liveInstances <= SmallFleet:
		return RoleAlone
	case isReader:
		return RoleReader
	}
	return RoleFollower
}

// Reason is why a call of the store is made.
type Reason string

// The reasons.
const (
	ReasonAlone       Reason = "small_fleet"
	ReasonReader      Reason = "reader"
	ReasonFirst       Reason = "first"       // there is no state yet
	ReasonUnconfirmed Reason = "unconfirmed" // no recent confirmation has reached the follower
	ReasonEra         Reason = "era"         // the store has come back from an older copy
	ReasonPaused      Reason = "paused"      // the process was paused
)

// neverConfirmed is the instant of a confirmation that there was not.
const neverConfirmed = core.Instant(math.MinInt64 / 2)

// Params are the settings of a State.
type Params struct {
	// Bound is the time after which each Instance must know a change, 0 if followers do not rely on
	// readers.
	Bound time.Duration
	// Rand is the source of randomness. It is required.
	Rand *rand.Rand
}

// State is what one Instance knows of one kind. It is not safe for concurrent use.
type State struct {
	params Params
	// known is set once there is a state.
	known bool
	// complete is the revision up to which the state has all changes. There are none after changed and
	// up to complete.
	changed, complete core.StoreRevision
	// confirmedAt is the latest instant at which the store is known to have had no change after complete.
	confirmedAt core.Instant
	// mustList is set until a list that has begun at listAfter or later. era is the newest era of the
	// store that is known.
	mustList  bool
	listAfter core.Instant
	era       uint64
	// lost is set if the store no longer has the changes after complete.
	lost bool

	waiting  bool // for the next call
	watching bool // the next call may be a watch even if the Instance is no follower
	limit    time.Duration
	// watchedFrom is changed at the begin of the last watch of a reader.
	watchedFrom core.StoreRevision
	// ownCalls counts the calls since the last confirmation of a peer.
	ownCalls int
	calls    map[Reason]int64
}

// New returns a State that knows nothing yet.
func New(p Params) *State {
	return &State{params: p, confirmedAt: neverConfirmed, calls: map[Reason]int64{}}
}

// Enabled reports whether followers rely on readers.
func (s *State) Enabled() bool { return s != nil && s.params.Bound > 0 }

// Complete returns the revision up to which the state has all changes, its number 0 for none.
func (s *State) Complete() core.StoreRevision { return s.complete }

// Changed returns the revision of the last change, or a later one up to Complete.
func (s *State) Changed() core.StoreRevision { return s.changed }

// Age returns the time since the state is known to have been complete in the store, false before the
// first confirmation.
func (s *State) Age(now core.Instant) (time.Duration, bool) {
	return now.Sub(s.confirmedAt), s.confirmedAt != neverConfirmed
}

// OwnCalls returns the number of calls since the last confirmation of a peer.
func (s *State) OwnCalls() int { return s.ownCalls }

// Calls returns the number of calls by their reason.
func (s *State) Calls() map[Reason]int64 { return s.calls }

// OnListed processes a list that the store has answered to a call of startedAt. changed is the revision
// of the last change that it shows.
func (s *State) OnListed(at, changed core.StoreRevision, startedAt core.Instant) {
	if at.Era < s.complete.Era {
		return
	}
	if !s.known || at.Era > s.complete.Era || s.changed.Before(changed) {
		s.changed = changed
	}
	s.known = true
	s.complete = s.complete.Latest(at)
	s.confirm(startedAt)
	s.lost = false
	if startedAt >= s.listAfter {
		s.mustList = false
	}
}

// OnWatched processes the answer to a watch. The store had no change after at at the instant
// confirmedAt.
func (s *State) OnWatched(at core.StoreRevision, confirmedAt core.Instant) {
	if !s.known || at.Era != s.complete.Era {
		return
	}
	s.complete = s.complete.Latest(at)
	s.confirm(confirmedAt)
}

// OnChanged processes changes after a revision that the state has, and up to another one.
func (s *State) OnChanged(upTo core.StoreRevision) {
	if !s.known || upTo.Era != s.complete.Era {
		return
	}
	s.changed = s.changed.Latest(upTo)
	s.complete = s.complete.Latest(upTo)
}

// OnPeerState processes a whole state of a peer that has taken the place of the own one.
func (s *State) OnPeerState(at core.StoreRevision) {
	if s.known && at.Before(s.complete) {
		return
	}
	if at.Era != s.complete.Era {
		s.confirmedAt = neverConfirmed
	}
	s.known, s.changed, s.complete = true, at, at
	s.lost = false
}

// OnPaused has the next call be a list, due at once: the process was paused until now.
func (s *State) OnPaused(now core.Instant) { s.mustList, s.listAfter = true, now }

// OnEra processes an era of the store. The state of an earlier one has to be listed again.
func (s *State) OnEra(era uint64) { s.era = max(s.era, era) }

func (s *State) confirm(at core.Instant) {
	if at > s.confirmedAt {
		s.confirmedAt, s.limit = at, 0
	}
}

// Confirmation is what a heartbeat states about a kind. There are no changes after revision Changed and up
// to Changed + Ahead, and the store had none after that AgeMS before the heartbeat was made. It takes
// about 15 bytes.
type Confirmation struct {
	Era     uint64
	Changed uint64
	Ahead   uint64
	AgeMS   int64
}

// Confirmation returns what peers are told, nil if nothing is confirmed.
func (s *State) Confirmation(now core.Instant) *Confirmation {
	age, confirmed := s.Age(now)
	if !s.Enabled() || !confirmed || age > s.params.Bound {
		return nil
	}
	return &Confirmation{
		Era: s.complete.Era, Changed: s.changed.Number, Ahead: s.complete.Number - s.changed.Number,
		AgeMS: age.Milliseconds() + 1,
	}
}

// Outcome is what a Confirmation of a peer has shown.
type Outcome int

// The outcomes.
const (
	OutcomeNone Outcome = iota
	// OutcomeConfirmed means that it is more recent than any before.
	OutcomeConfirmed
	// OutcomeBehind means that the peer has changes that this Instance does not have.
	OutcomeBehind
)

// OnConfirmation processes the Confirmation of a heartbeat that was made at madeAt or before.
func (s *State) OnConfirmation(now, madeAt core.Instant, c *Confirmation) Outcome {
	if c == nil || !s.known || c.Era != s.complete.Era {
		return OutcomeNone
	}
	if c.Changed > s.complete.Number {
		return OutcomeBehind
	}
	upTo := core.StoreRevision{Era: c.Era, Number: c.Changed + c.Ahead}
	if c.Changed < s.changed.Number && s.changed.Number <= upTo.Number {
		s.changed.Number = c.Changed // the two intervals without changes overlap
	}
	if s.complete.Before(upTo) {
		s.complete = upTo
		s.lost = false
	}
	age := time.Duration(c.AgeMS) * time.Millisecond
	if age < 0 {
		return OutcomeNone
	}
	confirmedAt := min(now, madeAt).Add(-age - time.Duration(maxDrift*float64(age)) - hopMargin)
	if confirmedAt <= s.confirmedAt {
		return OutcomeNone
	}
	s.confirm(confirmedAt)
	if now.Sub(confirmedAt) < s.fraction(minFollowerAge) {
		s.ownCalls = 0
	}
	return OutcomeConfirmed
}
