// Package fleet tracks the other Instances: their addresses, their liveness and the state
// that they last reported. Members come from objects in the platform's store, liveness
// from heartbeats. It is pure: every call passes the current instant.
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

// State is the state that an Instance reports in each heartbeat.
type State struct {
	// Serving is false until a configuration is active.
	Serving bool
	// Leaving is set once the Instance has been requested to stop.
	Leaving bool
}

// Params are the settings of a Fleet. Zero values select defaults.
type Params struct {
	// MinHeartbeatInterval is the shortest time between two heartbeats to one peer.
	MinHeartbeatInterval time.Duration
	// HeartbeatRate bounds the heartbeats per second that one Instance sends. Half of it is for
	// the peers of its DataCentre and half for the others.
	HeartbeatRate float64
	// SilenceTimeout is the time without a heartbeat after which a peer counts as
	// silent.
	SilenceTimeout time.Duration
	// QuotaUpdateRate bounds the quota updates per second that one Instance sends in
	// addition to its heartbeats.
	QuotaUpdateRate float64
	// RemovalTimeout is the time without a heartbeat after which a peer is removed, unless
	// TakeOver is set.
	RemovalTimeout time.Duration
	// ContactTime is the time after which an Instance that can reach nobody no longer counts as
	// connected. Address responses name no Instance that ended more than contactMargin before that.
	ContactTime time.Duration
	// TakeOver has shared allowances follow the entries of the store: this Instance gives up its
	// share while it can't be told from a lost one, and takes over the shares of lost peers. Peers
	// are removed only then. All Instances of a fleet must have the same value.
	TakeOver bool
}

const (
	// defaultMinHeartbeatInterval limits the excess over a quota to a few requests, at the
	// cost of 70 messages per second in a fleet of 8.
	defaultMinHeartbeatInterval = 150 * time.Millisecond
	// defaultRate limits the cost per Instance in a large fleet to that in a fleet of 8.
	defaultRate = 60.0
	// defaultQuotaUpdateRate lets each of 330 Instances report accounts near their limit to
	// all others every 1.7 s, and every 0.15 s for a short time. Quota updates are sent only
	// while there are such accounts.
	defaultQuotaUpdateRate = 200.0
	// defaultSilenceTimeout tolerates some lost or late heartbeats. Callers are directed to
	// a dead Instance for at most this time plus the TTL of the address response.
	defaultSilenceTimeout = 900 * time.Millisecond
	// maxMissedHeartbeats is the number of intervals without a heartbeat after which a peer
	// counts as silent when its interval is long.
	maxMissedHeartbeats = 3
	// defaultRemovalTimeout is longer than ordinary network partitions.
	defaultRemovalTimeout = 15 * time.Second
)

// Fleet is the view that one Instance has of the others. It is not safe for concurrent use.
type Fleet struct {
	params        Params
	self          Member
	state         State
	peers         map[core.InstanceID]*peer
	nextHeartbeat core.Instant // the next round of heartbeats is due then
	// nextCheck is the instant of the next check for silent peers.
	nextCheck core.Instant
	// lastContact is the instant of the last heartbeat of any peer, or that of the first listing of
	// peers before there was one.
	lastContact core.Instant
	// quotaUpdatesPaidUntil is the instant at which the quota updates sent so far are
	// covered by their rate.
	quotaUpdatesPaidUntil core.Instant
	// delayedHeartbeats counts the heartbeats that were ignored because they were made long ago.
	delayedHeartbeats int64
	takeOver          takeOver
	members           memberSet
}

type peer struct {
	member Member
	state  State
	// lastHeartbeat is the instant of the last heartbeat, 0 before the first.
	lastHeartbeat core.Instant
	listedAt      core.Instant
	silent        bool
	unheard       bool
	// life is what is known of when the peer was alive.
	life liveness
	// contacted is set once a heartbeat has been sent to the peer; lastInterval is the
	// number of the interval of the last one.
	contacted    bool
	lastInterval int64
	entry        entry
	contact      Contact // as of the last heartbeat
	digestSince  core.Instant
}

// New returns the Fleet of an Instance without peers.
func New(self Member, p Params) *Fleet {
	if p.MinHeartbeatInterval == 0 {
		p.MinHeartbeatInterval = defaultMinHeartbeatInterval
	}
	if p.HeartbeatRate == 0 {
		p.HeartbeatRate = defaultRate
	}
	if p.QuotaUpdateRate == 0 {
		p.QuotaUpdateRate = defaultQuotaUpdateRate
	}
	if p.SilenceTimeout == 0 {
		p.SilenceTimeout = defaultSilenceTimeout
	}
	if p.ContactTime == 0 {
		p.ContactTime = defaultContactTime
	}
	if p.RemovalTimeout == 0 {
		p.RemovalTimeout = defaultRemovalTimeout
	}
	f := &Fleet{params: p, self: self, peers: map[core.InstanceID]*peer{}, takeOver: newTakeOver()}
	f.members.toggle(0, self.Ref.ID)
	return f
}

// Self returns the description of this Instance.
func (f *Fleet) Self() Member { return f.self }

// SetState sets the state that this Instance reports.
func (f *Fleet) SetState(s State) { f.state = s }

// State returns the state that this Instance reports.
func (f *Fleet) State() State { return f.state }

// OnMemberList adds the members that the store lists. It removes none, and ignores
// previous incarnations of known peers.
func (f *Fleet) OnMemberList(now core.Instant, members []Member) {
	for _, m := range members {
		if m.Ref.ID == f.self.Ref.ID {
			continue
		}
		if f.lastContact == 0 {
			f.lastContact = now
		}
		known := f.peers[m.Ref.ID]
		if known == nil {
			f.peers[m.Ref.ID] = &peer{member: m, listedAt: now}
			f.members.toggle(now, m.Ref.ID)
			continue
		}
		if m.Ref.Incarnation > known.member.Ref.Incarnation {
			known.member = m
			known.listedAt = now
			known.contact = Contact{}
		}
	}
}

// OnHeartbeat processes a heartbeat. It returns false for one of a previous incarnation
// and for one of this Instance.
func (f *Fleet) OnHeartbeat(now core.Instant, m Member, s State) bool {
	return f.OnStampedHeartbeat(now, m, s, nil)
}

// OnStampedHeartbeat processes a heartbeat with its stamp, nil for one of an Instance that sends
// none. It also returns false for a heartbeat that was delayed for longer than a peer may be
// silent and for longer than ContactTime: the peer may have ended since it was made.
func (f *Fleet) OnStampedHeartbeat(now core.Instant, m Member, s State, stamp *Stamp) bool {
	if m.Ref.ID == f.self.Ref.ID {
		return false
	}
	p := f.peers[m.Ref.ID]
	if p != nil && m.Ref.Incarnation < p.member.Ref.Incarnation {
		return false
	}
	if p == nil {
		p = &peer{}
		f.peers[m.Ref.ID] = p
		f.members.toggle(now, m.Ref.ID)
	}
	if m.Ref.Incarnation != p.life.incarnation {
		p.life = liveness{incarnation: m.Ref.Incarnation}
	}
	p.member = m
	madeAt := p.life.observe(now, stamp)
	if delay := now.Sub(madeAt); delay > f.params.ContactTime && delay > f.silenceTimeout(f.intervalTo(m)) {
		f.delayedHeartbeats++
		return false
	}
	f.takeVouchers(p, stamp)
	p.state = s
	p.lastHeartbeat = now
	f.lastContact = now
	p.unheard = false
	if p.silent {
		p.silent = false
		p.contacted = false // it may have received nothing in the meantime either
	}
	return true
}

// Changes lists the peers whose liveness has changed in a Tick.
type Changes struct {
	Silent []SilentPeer
	// Unheard holds the peers that have missed a few heartbeats. They count as live for
	// callers, but what they use of shared allowances is not known.
	Unheard []SilentPeer
	Removed []core.InstanceID
}

// SilentPeer is a peer whose heartbeats have stopped. Since is the instant of the last
// heartbeat, or that of its listing if none has arrived. If its whole DataCentre is silent,
// Since is the latest of these instants over the members of the DataCentre.
type SilentPeer struct {
	ID    core.InstanceID
	Since core.Instant
}

// Tick marks the peers that have become silent and removes those that are silent for long
// or were leaving. It returns both.
func (f *Fleet) Tick(now core.Instant) Changes {
	var changes Changes
	if f.isIsolated(now) {
		changes.Unheard = f.markUnheard()
	}
	if now < f.nextCheck {
		return changes
	}
	f.nextCheck = now.Add(f.params.MinHeartbeatInterval)
	localInterval, remoteInterval := f.localInterval(), f.remoteInterval()
	silentDataCentres := f.silentDataCentres(now)
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		last := max(p.lastHeartbeat, p.listedAt)
		interval := remoteInterval
		if p.member.DataCentre == f.self.DataCentre {
			interval = localInterval
		}
		timeout := f.silenceTimeout(interval)
		if !p.unheard && now.Sub(last) > maxMissedHeartbeats*interval {
			p.unheard = true
			changes.Unheard = append(changes.Unheard, SilentPeer{ID: id, Since: last})
		}
		switch {
		case f.isGone(now, p, max(f.params.RemovalTimeout, 2*timeout)):
			delete(f.peers, id)
			f.members.toggle(now, id)
			changes.Removed = append(changes.Removed, id)
		case !p.silent && silentDataCentres[p.member.DataCentre] != 0:
			p.silent = true
			changes.Silent = append(changes.Silent, SilentPeer{ID: id, Since: silentDataCentres[p.member.DataCentre]})
		case !p.silent && now.Sub(last) > timeout:
			p.silent = true
			changes.Silent = append(changes.Silent, SilentPeer{ID: id, Since: last})
		}
	}
	return changes
}

// isolationTimeout is the shortest time without any heartbeat after which an Instance counts as
// isolated. It is the time in which reports of what an Instance has used reach its peers.
const isolationTimeout = 250 * time.Millisecond

// isIsolated reports whether no heartbeats arrive from any peer. All peers together send often, so
// this shows long before each of them has missed a few.
func (f *Fleet) isIsolated(now core.Instant) bool {
	if len(f.peers) == 0 || now.Sub(f.lastContact) <= isolationTimeout {
		return false
	}
	return now.Sub(f.lastContact) > f.contactGap()
}

// contactGap returns the longest time between two heartbeats of any peers that is expected.
func (f *Fleet) contactGap() time.Duration {
	localInterval, remoteInterval := f.localInterval(), f.remoteInterval()
	shortest, perSecond := remoteInterval, 0.0
	for _, p := range f.peers {
		interval := remoteInterval
		if p.member.DataCentre == f.self.DataCentre {
			interval = localInterval
		}
		shortest = min(shortest, interval)
		perSecond += 1 / interval.Seconds()
	}
	gap := (math.Log(float64(len(f.peers))) + falseSilenceExponent) / perSecond
	return min(maxMissedHeartbeats*shortest, time.Duration(gap*float64(time.Second)))
}

// markUnheard marks the peers that do not yet count as unheard, and returns them.
func (f *Fleet) markUnheard() []SilentPeer {
	var unheard []SilentPeer
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		if p := f.peers[id]; !p.unheard {
			p.unheard = true
			unheard = append(unheard, SilentPeer{ID: id, Since: max(p.lastHeartbeat, p.listedAt)})
		}
	}
	return unheard
}

// falseSilenceExponent is the negative logarithm of the probability that the heartbeats of
// a DataCentre, which arrive at random, leave a gap that silentDataCentres mistakes for
// silence.
const falseSilenceExponent = 5

// silentDataCentres returns the other DataCentres from which no heartbeats arrive, with the
// instant of the last one. The members of a DataCentre together send often even when each
// one sends rarely, so a partition is detected long before the silence timeout of each
// member.
func (f *Fleet) silentDataCentres(now core.Instant) map[core.DataCentreName]core.Instant {
	last := map[core.DataCentreName]core.Instant{}
	members := map[core.DataCentreName]int{}
	for _, p := range f.peers {
		dc := p.member.DataCentre
		last[dc] = max(last[dc], p.lastHeartbeat, p.listedAt)
		members[dc]++
	}
	silent := map[core.DataCentreName]core.Instant{}
	interval := float64(f.remoteInterval())
	for dc, lastHeartbeat := range last {
		n := float64(members[dc])
		gap := time.Duration(interval / n * (math.Log(n) + falseSilenceExponent))
		if dc != f.self.DataCentre && now.Sub(lastHeartbeat) > max(f.params.SilenceTimeout, gap) {
			silent[dc] = lastHeartbeat
		}
	}
	return silent
}

// quotaUpdateBurst is the time by which quota updates may be ahead of their rate. It allows
// a few consecutive updates to each of 330 Instances.
const quotaUpdateBurst = 4 * time.Second

// AllowQuotaUpdate reports whether a quota update may be sent to all peers now, and counts
// it if so.
func (f *Fleet) AllowQuotaUpdate(now core.Instant) bool {
	if f.quotaUpdatesPaidUntil.Sub(now) > quotaUpdateBurst {
		return false
	}
	f.quotaUpdatesPaidUntil = max(f.quotaUpdatesPaidUntil, now).Add(time.Duration(float64(len(f.peers)) / f.params.QuotaUpdateRate * float64(time.Second)))
	return true
}

// LivePeers returns the live peers, sorted by name.
func (f *Fleet) LivePeers() []Member {
	return slices.DeleteFunc(f.Peers(), func(m Member) bool { return !f.IsLive(m.Ref) })
}

// IsLive reports whether heartbeats of this incarnation of a peer arrive.
func (f *Fleet) IsLive(ref core.InstanceRef) bool {
	p := f.peers[ref.ID]
	return p != nil && p.member.Ref == ref && p.lastHeartbeat > 0 && !p.silent
}

// DueHeartbeats returns the peers to which a heartbeat is due now, sorted by name. They
// count as sent.
func (f *Fleet) DueHeartbeats(now core.Instant) []Member {
	if now < f.nextHeartbeat {
		return nil
	}
	f.nextHeartbeat = now.Add(f.params.MinHeartbeatInterval)
	localInterval, remoteInterval := f.localInterval(), f.remoteInterval()
	var due []Member
	for _, p := range f.peers {
		interval := remoteInterval
		if p.member.DataCentre == f.self.DataCentre {
			interval = localInterval
		}
		// Each pair of Instances has its own phase, so that the heartbeats of the members
		// of a DataCentre arrive evenly at a peer, however the interval changes.
		shifted := now.Add(time.Duration(f.phase(p.member) * float64(interval)))
		if number := int64(shifted) / int64(interval); number != p.lastInterval || !p.contacted {
			p.contacted, p.lastInterval = true, number
			due = append(due, p.member)
		}
	}
	sortMembers(due)
	return due
}

// phase returns the phase of the heartbeats to a peer, as a fraction of the interval. It is
// a hash of the pair of Instances.
func (f *Fleet) phase(m Member) float64 {
	hash := xxhash.Sum64String(string(f.self.Ref.ID) + "\n" + string(m.Ref.ID))
	return float64(hash>>11) / (1 << 53)
}

// localInterval returns the time between two heartbeats to a peer in this Instance's
// DataCentre, remoteInterval to one in another.
func (f *Fleet) localInterval() time.Duration  { return f.heartbeatInterval(true) }
func (f *Fleet) remoteInterval() time.Duration { return f.heartbeatInterval(false) }

func (f *Fleet) heartbeatInterval(local bool) time.Duration {
	count := 0
	for _, p := range f.peers {
		if (p.member.DataCentre == f.self.DataCentre) == local {
			count++
		}
	}
	return max(f.params.MinHeartbeatInterval, time.Duration(float64(count)/(f.params.HeartbeatRate/2)*float64(time.Second)))
}

// silenceTimeout returns the time without a heartbeat after which a peer that sends one per
// interval counts as silent.
func (f *Fleet) silenceTimeout(interval time.Duration) time.Duration {
	return max(f.params.SilenceTimeout, maxMissedHeartbeats*interval)
}

// HearsAllDataCentres reports whether, of each DataCentre with live peers, a heartbeat has arrived within
// maxAge. A partition of DataCentres or regions shows by this long before each peer counts as silent.
func (f *Fleet) HearsAllDataCentres(now core.Instant, maxAge time.Duration) bool {
	newest := map[core.DataCentreName]core.Instant{}
	for _, p := range f.peers {
		if !p.silent && !p.state.Leaving {
			newest[p.member.DataCentre] = max(newest[p.member.DataCentre], p.lastHeartbeat)
		}
	}
	for _, heard := range newest {
		if heard == 0 || now.Sub(heard) > maxAge {
			return false
		}
	}
	return true
}

// readersPerRegion is the number of Instances of a Region that follow the store closely for the
// others. Any of them may be lost or cut off from the store.
const readersPerRegion = 4

// IsReader reports whether this Instance is one of the readers of its Region: the live ones of
// highest hash.
func (f *Fleet) IsReader() bool { return f.ReaderRank() < readersPerRegion }

func readerHash(m Member) uint64 { return xxhash.Sum64String("reader\n" + string(m.Ref.ID)) }

// Peers returns all known peers, sorted by name.
func (f *Fleet) Peers() []Member {
	members := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		members = append(members, p.member)
	}
	sortMembers(members)
	return members
}

// Peer returns a known peer.
func (f *Fleet) Peer(id core.InstanceID) (Member, bool) {
	p := f.peers[id]
	if p == nil {
		return Member{}, false
	}
	return p.member, true
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
}

// NextWake returns the instant at which Tick or a heartbeat is due.
func (f *Fleet) NextWake() core.Instant { return f.nextHeartbeat }

// LiveCount returns the number of live Instances, including this one.
func (f *Fleet) LiveCount() int {
	count := 1
	for _, p := range f.peers {
		if p.lastHeartbeat > 0 && !p.silent {
			count++
		}
	}
	return count
}

// KnownCount returns the number of Instances that may be running, including this one.
func (f *Fleet) KnownCount() int { return len(f.peers) + 1 }
