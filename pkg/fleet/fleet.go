// Package fleet knows the other Instances: who they are, which of them are
// heard, and what they last said. Members come from objects in the platform's
// store, liveness from heartbeats. It is pure: instants come with each call.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// MinHeartbeatInterval is the shortest time between two heartbeats to one peer.
	MinHeartbeatInterval time.Duration
	// Rate bounds the heartbeats per second that one Instance sends. Half of them
	// go to the peers of its DataCentre.
	Rate float64
	// SilenceTimeout is the time without a heartbeat after which a peer counts as
	// silent.
	SilenceTimeout time.Duration
	// QuotaUpdateRate bounds the short notes per second that one Instance sends beside its
	// heartbeats.
	QuotaUpdateRate float64
	// RemovalTimeout is the time without a heartbeat after which a peer is forgotten.
	RemovalTimeout time.Duration
}

const (
	// defaultMinHeartbeatInterval keeps the excess of a quota to a few requests and costs 70
	// messages a second in a fleet of 8.
	defaultMinHeartbeatInterval = 150 * time.Millisecond
	// defaultRate keeps the cost of a large fleet at that of 8 Instances.
	defaultRate = 60.0
	// defaultQuotaUpdateRate lets each of 330 Instances tell all others of accounts near their
	// limit every 1.7 s, and for a while every 0.15 s. Notes are sent only while there
	// is such news.
	defaultQuotaUpdateRate = 200.0
	// defaultSilenceTimeout tolerates some lost or late heartbeats. Callers that were
	// sent to a dead Instance lose at most this and the life of the answer.
	defaultSilenceTimeout = 900 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeats that may be missing before a peer with
	// slower ones counts as silent.
	maxMissedHeartbeats = 3
	// defaultRemovalTimeout outlasts the partitions of an ordinary day.
	defaultRemovalTimeout = 15 * time.Second
)

// Fleet is the state of one Instance.
type Fleet struct {
	params        Params
	self          Member
	state         State
	peers         map[core.InstanceID]*peer
	nextHeartbeat core.Instant // heartbeats
	// nextCheck is the next look for silent peers.
	nextCheck core.Instant
	// quotaUpdatesPaidUntil is when the notes sent so far have used up their rate.
	quotaUpdatesPaidUntil core.Instant
}

type peer struct {
	member Member
	state  State
	// lastHeartbeat is the instant of the last heartbeat, 0 before the first.
	lastHeartbeat core.Instant
	listedAt      core.Instant
	silent        bool
	// contacted is set from the first heartbeat to it on; turn is the number of the
	// interval of the last one.
	contacted    bool
	lastInterval int64
}

// New returns the Fleet of an Instance that knows no other.
func New(self Member, p Params) *Fleet {
	if p.MinHeartbeatInterval == 0 {
		p.MinHeartbeatInterval = defaultMinHeartbeatInterval
	}
	if p.Rate == 0 {
		p.Rate = defaultRate
	}
	if p.QuotaUpdateRate == 0 {
		p.QuotaUpdateRate = defaultQuotaUpdateRate
	}
	if p.SilenceTimeout == 0 {
		p.SilenceTimeout = defaultSilenceTimeout
	}
	if p.RemovalTimeout == 0 {
		p.RemovalTimeout = defaultRemovalTimeout
	}
	return &Fleet{params: p, self: self, peers: map[core.InstanceID]*peer{}}
}

// Self returns the description of this Instance.
func (f *Fleet) Self() Member { return f.self }

// SetState changes what this Instance says of itself.
func (f *Fleet) SetState(s State) { f.state = s }

// State returns what this Instance says of itself.
func (f *Fleet) State() State { return f.state }

// OnMemberList takes in the members that the store lists.
func (f *Fleet) OnMemberList(now core.Instant, members []Member) {
	for _, m := range members {
		if m.Ref.ID == f.self.Ref.ID {
			continue
		}
		known := f.peers[m.Ref.ID]
		if known == nil {
			f.peers[m.Ref.ID] = &peer{member: m, listedAt: now}
			continue
		}
		if m.Ref.Incarnation > known.member.Ref.Incarnation {
			known.member = m
			known.listedAt = now
		}
	}
}

// OnHeartbeat takes in a heartbeat. It returns false for one of an earlier run.
func (f *Fleet) OnHeartbeat(now core.Instant, m Member, s State) bool {
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
	p.lastHeartbeat = now
	if p.silent {
		p.silent = false
		p.contacted = false // it has not heard this Instance for as long
	}
	return true
}

// Changes are the peers whose liveness has changed in a Tick.
type Changes struct {
	Silent []SilentPeer
	Gone   []core.InstanceID
}

// SilentPeer is a peer that was last heard, or listed without being heard, at Since. Where
// its whole DataCentre is not heard, Since is when the last of its members was.
type SilentPeer struct {
	ID    core.InstanceID
	Since core.Instant
}

// Tick finds the peers that have fallen silent, and those to be forgotten.
func (f *Fleet) Tick(now core.Instant) Changes {
	var changes Changes
	if now < f.nextCheck {
		return changes
	}
	f.nextCheck = now.Add(f.params.MinHeartbeatInterval)
	near, far := f.silenceTimeout(f.localInterval()), f.silenceTimeout(f.remoteInterval())
	cutOff := f.silentDataCentres(now)
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		last := max(p.lastHeartbeat, p.listedAt)
		silentAfter := far
		if p.member.DataCentre == f.self.DataCentre {
			silentAfter = near
		}
		switch {
		case now.Sub(last) > max(f.params.RemovalTimeout, 2*silentAfter), p.state.Leaving && p.silent:
			delete(f.peers, id)
			changes.Gone = append(changes.Gone, id)
		case !p.silent && cutOff[p.member.DataCentre] != 0:
			p.silent = true
			changes.Silent = append(changes.Silent, SilentPeer{ID: id, Since: cutOff[p.member.DataCentre]})
		case !p.silent && now.Sub(last) > silentAfter:
			p.silent = true
			changes.Silent = append(changes.Silent, SilentPeer{ID: id, Since: last})
		}
	}
	return changes
}

// falseSilenceExponent is the logarithm of how rarely the heartbeats of a DataCentre, which come
// at random, leave a gap that silentDataCentres takes for silence.
const falseSilenceExponent = 5

// silentDataCentres returns the other DataCentres of which no member is heard, with
// the instant at which the last one was. Together the members send often even where
// each one sends seldom, so a cut is noticed long before silentAfter of each.
func (f *Fleet) silentDataCentres(now core.Instant) map[core.DataCentreName]core.Instant {
	last := map[core.DataCentreName]core.Instant{}
	members := map[core.DataCentreName]int{}
	for _, p := range f.peers {
		dc := p.member.DataCentre
		last[dc] = max(last[dc], p.lastHeartbeat, p.listedAt)
		members[dc]++
	}
	silent := map[core.DataCentreName]core.Instant{}
	far := float64(f.remoteInterval())
	for dc, heard := range last {
		n := float64(members[dc])
		gap := time.Duration(far / n * (math.Log(n) + falseSilenceExponent))
		if dc != f.self.DataCentre && now.Sub(heard) > max(f.params.SilenceTimeout, gap) {
			silent[dc] = heard
		}
	}
	return silent
}

// quotaUpdateBurst is the time for which notes may be sent ahead of their rate: a few in a
// row to each of 330 Instances.
const quotaUpdateBurst = 4 * time.Second

// AllowQuotaUpdate asks to send a note to all peers, and counts it when it is allowed.
func (f *Fleet) AllowQuotaUpdate(now core.Instant) bool {
	if f.quotaUpdatesPaidUntil.Sub(now) > quotaUpdateBurst {
		return false
	}
	f.quotaUpdatesPaidUntil = max(f.quotaUpdatesPaidUntil, now).Add(time.Duration(float64(len(f.peers)) / f.params.QuotaUpdateRate * float64(time.Second)))
	return true
}

// LivePeers returns the peers that are heard, sorted by name.
func (f *Fleet) LivePeers() []Member {
	return slices.DeleteFunc(f.Peers(), func(m Member) bool { return !f.IsLive(m.Ref) })
}

// IsLive reports whether a peer in this run is heard.
func (f *Fleet) IsLive(ref core.InstanceRef) bool {
	p := f.peers[ref.ID]
	return p != nil && p.member.Ref == ref && p.lastHeartbeat > 0 && !p.silent
}

// DueHeartbeats returns the peers to which a heartbeat is due now.
func (f *Fleet) DueHeartbeats(now core.Instant) []Member {
	if now < f.nextHeartbeat {
		return nil
	}
	f.nextHeartbeat = now.Add(f.params.MinHeartbeatInterval)
	near, far := f.localInterval(), f.remoteInterval()
	var due []Member
	for _, p := range f.peers {
		every := far
		if p.member.DataCentre == f.self.DataCentre {
			every = near
		}
		// Each pair has its own place in the interval, so that a peer hears the members
		// of a DataCentre evenly, however the interval changes.
		place := now.Add(time.Duration(f.phase(p.member) * float64(every)))
		if turn := int64(place) / int64(every); turn != p.lastInterval || !p.contacted {
			p.contacted, p.lastInterval = true, turn
			due = append(due, p.member)
		}
	}
	sortMembers(due)
	return due
}

// phase returns a part of an interval that differs for each pair of Instances.
func (f *Fleet) phase(m Member) float64 {
	hash := xxhash.Sum64String(string(f.self.Ref.ID) + "\n" + string(m.Ref.ID))
	return float64(hash>>11) / (1 << 53)
}

// localInterval is the time between two heartbeats to a peer of the own DataCentre,
// everyFar to one of another.
func (f *Fleet) localInterval() time.Duration  { return f.heartbeatInterval(true) }
func (f *Fleet) remoteInterval() time.Duration { return f.heartbeatInterval(false) }

func (f *Fleet) heartbeatInterval(near bool) time.Duration {
	count := 0
	for _, p := range f.peers {
		if (p.member.DataCentre == f.self.DataCentre) == near {
			count++
		}
	}
	return max(f.params.MinHeartbeatInterval, time.Duration(float64(count)/(f.params.Rate/2)*float64(time.Second)))
}

// silenceTimeout is the time without a heartbeat after which a peer that sends one in
// every interval counts as silent.
func (f *Fleet) silenceTimeout(every time.Duration) time.Duration {
	return max(f.params.SilenceTimeout, maxMissedHeartbeats*every)
}

// Peers returns all known peers, sorted by name.
func (f *Fleet) Peers() []Member {
	members := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		members = append(members, p.member)
	}
	sortMembers(members)
	return members
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
}

// NextWake returns the instant at which Tick or a heartbeat is due.
func (f *Fleet) NextWake() core.Instant { return f.nextHeartbeat }

// LiveCount returns the number of Instances that are heard, this one included.
func (f *Fleet) LiveCount() int {
	count := 1
	for _, p := range f.peers {
		if p.lastHeartbeat > 0 && !p.silent {
			count++
		}
	}
	return count
}

// KnownCount returns the number of Instances that may be running, this one included.
func (f *Fleet) KnownCount() int { return len(f.peers) + 1 }

// MinAddresses is the number of addresses below which an answer is extended with
// Instances that are farther away: a caller needs another one to turn to.
const MinAddresses = 2

// Addresses returns the Instances that a caller in a DataCentre should use:
// those of its DataCentre, extended by its region and then by all while there
// are fewer than MinAddresses.
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
		if p.lastHeartbeat > 0 && !p.silent && p.state.Serving && !p.state.Leaving {
			add(p.member)
		}
	}
	addresses := near
	if len(addresses) < MinAddresses {
		addresses = append(addresses, regional...)
	}
	if len(addresses) < MinAddresses {
		addresses = append(addresses, far...)
	}
	return addresses[:min(limit, len(addresses))]
}
