// Package fleet knows the other Instances: who they are, which of them are
// heard, and what they last said. Members come from objects in the platform's
// store, liveness from heartbeats. It is pure: instants come with each call.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Member describes one Instance.
type Member struct {
	Ref        core.InstanceRef    `json:"ref"`
	DataCentre core.DataCentreName `json:"data_centre"`
	Region     core.RegionName     `json:"region"`
	CallerAddr string              `json:"caller_addr"`
	PeerAddr   string              `json:"peer_addr"`
}

// State is what an Instance says of itself in each heartbeat.
type State struct {
	// Serving is false before a configuration is in force.
	Serving bool
	// Leaving is set from the request to stop on.
	Leaving bool
}

// Params are the settings of a Fleet. Zero values select defaults.
type Params struct {
	// Every is the shortest time between two heartbeats to one peer.
	Every time.Duration
	// Rate bounds the heartbeats per second that one Instance sends. Half of them
	// go to the peers of its DataCentre.
	Rate float64
	// SilentAfter is the time without a heartbeat after which a peer counts as
	// silent.
	SilentAfter time.Duration
	// GoneAfter is the time without a heartbeat after which a peer is forgotten.
	GoneAfter time.Duration
}

const (
	// defaultEvery keeps the excess of a quota to a few requests and costs 70
	// messages a second in a fleet of 8.
	defaultEvery = 150 * time.Millisecond
	// defaultRate keeps the cost of a large fleet at that of 8 Instances.
	defaultRate = 60.0
	// defaultSilentAfter tolerates some lost or late heartbeats. Callers that were
	// sent to a dead Instance lose at most this and the life of the answer.
	defaultSilentAfter = 900 * time.Millisecond
	// silentBeats is the number of heartbeats that may be missing before a peer with
	// slower ones counts as silent.
	silentBeats = 3
	// defaultGoneAfter outlasts the partitions of an ordinary day.
	defaultGoneAfter = 15 * time.Second
)

// Fleet is the state of one Instance.
type Fleet struct {
	params Params
	self   Member
	state  State
	peers  map[core.InstanceID]*peer
	next   core.Instant
}

type peer struct {
	member Member
	state  State
	// heard is the instant of the last heartbeat, 0 before the first.
	heard  core.Instant
	listed core.Instant
	sent   core.Instant
	silent bool
}

// New returns the Fleet of an Instance that knows no other.
func New(self Member, p Params) *Fleet {
	if p.Every == 0 {
		p.Every = defaultEvery
	}
	if p.Rate == 0 {
		p.Rate = defaultRate
	}
	if p.SilentAfter == 0 {
		p.SilentAfter = defaultSilentAfter
	}
	if p.GoneAfter == 0 {
		p.GoneAfter = defaultGoneAfter
	}
	return &Fleet{params: p, self: self, peers: map[core.InstanceID]*peer{}}
}

// Self returns the description of this Instance.
func (f *Fleet) Self() Member { return f.self }

// SetState changes what this Instance says of itself.
func (f *Fleet) SetState(s State) { f.state = s }

// State returns what this Instance says of itself.
func (f *Fleet) State() State { return f.state }

// Listed takes in the members that the store lists.
func (f *Fleet) Listed(now core.Instant, members []Member) {
	for _, m := range members {
		if m.Ref.ID == f.self.Ref.ID {
			continue
		}
		known := f.peers[m.Ref.ID]
		if known == nil {
			f.peers[m.Ref.ID] = &peer{member: m, listed: now}
			continue
		}
		if m.Ref.Incarnation > known.member.Ref.Incarnation {
			known.member = m
			known.listed = now
		}
	}
}

// Heard takes in a heartbeat. It returns false for one of an earlier run.
func (f *Fleet) Heard(now core.Instant, m Member, s State) bool {
	if m.Ref.ID == f.self.Ref.ID {
		return false
	}
	p := f.peers[m.Ref.ID]
	if p == nil {
		p = &peer{}
		f.peers[m.Ref.ID] = p
	}
	if m.Ref.Incarnation < p.member.Ref.Incarnation {
		return false
	}
	p.member = m
	p.state = s
	p.heard = now
	p.silent = false
	return true
}

// Changes are the peers whose liveness has changed in a Tick.
type Changes struct {
	Silent []core.InstanceID
	Gone   []core.InstanceID
}

// Tick finds the peers that have fallen silent, and those to be forgotten.
func (f *Fleet) Tick(now core.Instant) Changes {
	var changes Changes
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		last := max(p.heard, p.listed)
		switch {
		case now.Sub(last) > max(f.params.GoneAfter, 2*f.silentAfter(p.member)), p.state.Leaving && p.silent:
			delete(f.peers, id)
			changes.Gone = append(changes.Gone, id)
		case !p.silent && now.Sub(last) > f.silentAfter(p.member):
			p.silent = true
			changes.Silent = append(changes.Silent, id)
		}
	}
	return changes
}

// DueHeartbeats returns the peers to which a heartbeat is due now.
func (f *Fleet) DueHeartbeats(now core.Instant) []Member {
	if now < f.next {
		return nil
	}
	f.next = now.Add(f.params.Every)
	near, far := f.everyNear(), f.everyFar()
	var due []Member
	for _, member := range f.Peers() {
		p := f.peers[member.Ref.ID]
		every := far
		if member.DataCentre == f.self.DataCentre {
			every = near
		}
		// Half an interval is the rounding of the ticks.
		if p.sent == 0 || now.Sub(p.sent) >= every-f.params.Every/2 {
			p.sent = now
			due = append(due, member)
		}
	}
	return due
}

// everyNear is the time between two heartbeats to a peer of the own DataCentre,
// everyFar to one of another.
func (f *Fleet) everyNear() time.Duration { return f.every(true) }
func (f *Fleet) everyFar() time.Duration  { return f.every(false) }

func (f *Fleet) every(near bool) time.Duration {
	count := 0
	for _, p := range f.peers {
		if (p.member.DataCentre == f.self.DataCentre) == near {
			count++
		}
	}
	return max(f.params.Every, time.Duration(float64(count)/(f.params.Rate/2)*float64(time.Second)))
}

// silentAfter is the time without a heartbeat after which a peer counts as silent.
func (f *Fleet) silentAfter(m Member) time.Duration {
	every := f.everyFar()
	if m.DataCentre == f.self.DataCentre {
		every = f.everyNear()
	}
	return max(f.params.SilentAfter, silentBeats*every)
}

// Peers returns all known peers, sorted by name.
func (f *Fleet) Peers() []Member {
	members := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return members
}

// NextWake returns the instant at which Tick or a heartbeat is due.
func (f *Fleet) NextWake() core.Instant { return f.next }

// HeardCount returns the number of Instances that are heard, this one included.
func (f *Fleet) HeardCount() int {
	count := 1
	for _, p := range f.peers {
		if p.heard > 0 && !p.silent {
			count++
		}
	}
	return count
}

// Known returns the number of Instances that may be running, this one included.
func (f *Fleet) Known() int { return len(f.peers) + 1 }

// MinAnswers is the number of addresses below which an answer is extended with
// Instances that are farther away: a caller needs another one to turn to.
const MinAnswers = 2

// Addresses returns the Instances that a caller in a DataCentre should use:
// those of its DataCentre, extended by its region and then by all while there
// are fewer than MinAnswers.
func (f *Fleet) Addresses(region core.RegionName, dc core.DataCentreName, limit int) []string {
	var near, regional, far []string
	add := func(m Member) {
		switch {
		case m.DataCentre == dc:
			near = append(near, m.CallerAddr)
		case m.Region == region:
			regional = append(regional, m.CallerAddr)
		default:
			far = append(far, m.CallerAddr)
		}
	}
	if f.state.Serving && !f.state.Leaving {
		add(f.self)
	}
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.heard > 0 && !p.silent && p.state.Serving && !p.state.Leaving {
			add(p.member)
		}
	}
	addresses := near
	if len(addresses) < MinAnswers {
		addresses = append(addresses, regional...)
	}
	if len(addresses) < MinAnswers {
		addresses = append(addresses, far...)
	}
	return addresses[:min(limit, len(addresses))]
}
