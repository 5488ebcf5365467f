package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Membership is one Instance's view of the fleet.
type Membership struct {
	self Member
	p    Params

	roster            Roster
	activatedAt       core.Instant
	storeVersion      uint64 // store version of roster
	storeVersionKnown bool
	proposeAt         core.Instant // Never when no proposal is planned
	writeTimeoutAt    core.Instant // when an unanswered write is resolved by a read; Never when there is none
	nextRosterReadAt  core.Instant // earliest next ReadRoster after a hint from a peer
	fences            map[core.Epoch]fence
	entitlementExpiry core.Instant
	stopped           bool

	listed       map[core.InstanceID]ListEntry
	missingSince map[core.InstanceID]core.Instant
	wasListed    bool

	peers   map[core.InstanceID]*peer
	targets []target // peers to send heartbeats to, sorted by id
	cursor  int      // next target of a round
	digest  uint64

	nextHeartbeatAt core.Instant
	seq             uint64
	sentAt          [trackedRounds]core.Instant // by Seq modulo its length
}

// trackedRounds covers the default EntitlementTTL of 45 rounds.
const trackedRounds = 64

// peer is what this Instance knows about another one.
type peer struct {
	row           Row
	changedAt     core.Instant // when row changed last
	lastHeartbeat core.Instant // when a heartbeat of this run came last
	hasHeartbeat  bool
	lastSeq       uint64 // highest Seq of this run
	digest        uint64 // digest in that heartbeat
	// epochConfirmedAt is the latest instant of this Instance's clock after which the peer
	// is known to have been at no later epoch than ours.
	epochConfirmedAt core.Instant
	epochConfirmed   bool
}

type target struct {
	id   core.InstanceID
	addr string
}

// New returns the view of a starting Instance. It serves once a roster that
// holds its own incarnation is in force.
func New(self Member, p Params) *Membership {
	return &Membership{
		self:           self,
		p:              p.withDefaults(),
		proposeAt:      core.Never,
		writeTimeoutAt: core.Never,
		fences:         map[core.Epoch]fence{},
		listed:         map[core.InstanceID]ListEntry{},
		missingSince:   map[core.InstanceID]core.Instant{},
		peers:          map[core.InstanceID]*peer{},
	}
}

// Reset starts a new incarnation after a pause; everything learned before is dropped.
func (m *Membership) Reset(self core.InstanceRef) {
	member := m.self
	member.Ref = self
	*m = *New(member, m.p)
}

// OnList takes the platform's list. An empty list is ignored: the platform
// returns one while it starts.
func (m *Membership) OnList(now core.Instant, list []ListEntry) []Output {
	if len(list) == 0 {
		return nil
	}
	m.listed = make(map[core.InstanceID]ListEntry, len(list))
	for _, l := range list {
		m.listed[l.ID] = l
		delete(m.missingSince, l.ID)
	}
	for _, member := range m.roster.Members {
		id := member.Ref.ID
		if _, ok := m.listed[id]; ok {
			continue
		}
		if _, ok := m.missingSince[id]; !ok {
			m.missingSince[id] = now
		}
	}
	m.rebuildTargets()
	out := m.checkSelfListed(now)
	m.planProposal(now)
	return out
}

// checkSelfListed stops this Instance when the list no longer has it. A starting
// Instance waits for its first listing, as the list lags.
func (m *Membership) checkSelfListed(now core.Instant) []Output {
	if m.isSelfListed() {
		m.wasListed = true
		if m.stopped && m.inRoster() {
			return []Output{ReadRoster{}}
		}
		return nil
	}
	if !m.wasListed {
		return nil
	}
	return m.stop(now, "the platform's list no longer has this instance")
}

func (m *Membership) stop(now core.Instant, reason string) []Output {
	if m.stopped {
		return nil
	}
	m.stopped = true
	m.entitlementExpiry = now
	return []Output{SetEntitlementExpiry{Until: now}, StopServing{Reason: reason}}
}

// Leave starts this Instance's graceful shutdown. It tells the peers at once and
// plans a roster that gives its entitlements to others.
func (m *Membership) Leave(now core.Instant) []Output {
	m.self.Leaving = true
	m.planProposal(now)
	return m.sendRound(now)
}

// Tick does what is due: heartbeats, a planned proposal, the end of a fencing
// wait, a read after a write without an answer.
func (m *Membership) Tick(now core.Instant) []Output {
	var out []Output
	if !m.storeVersionKnown && now >= m.nextRosterReadAt {
		m.nextRosterReadAt = now.Add(m.p.StoreRetryInterval)
		out = append(out, ReadRoster{})
	}
	if now >= m.writeTimeoutAt {
		out = append(out, m.OnWriteFailed(now)...)
	}
	if now >= m.proposeAt {
		out = append(out, m.propose(now)...)
	}
	out = append(out, m.checkHandover(now)...)
	if now >= m.nextHeartbeatAt {
		out = append(out, m.updateExpiry(now)...)
		out = append(out, m.sendRound(now)...)
		m.nextHeartbeatAt = now.Add(jittered(m.p.Random, m.p.HeartbeatInterval))
		m.planProposal(now)
	}
	return out
}

// jittered returns a duration within 10% of d.
func jittered(random *rand.Rand, d time.Duration) time.Duration {
	return d*9/10 + time.Duration(random.Int64N(int64(d)/5+1))
}

// NextWake returns when the next Tick is due. Fencing waits and reads are
// checked with the heartbeats, once in a HeartbeatInterval.
func (m *Membership) NextWake() core.Instant {
	return core.Earliest(m.nextHeartbeatAt, m.proposeAt, m.writeTimeoutAt)
}

// Roster returns the roster in force.
func (m *Membership) Roster() Roster { return m.roster }

// Alive reports whether the Instance was heard within three heartbeat cycles.
func (m *Membership) Alive(now core.Instant, id core.InstanceID) bool {
	if id == m.self.Ref.ID {
		return true
	}
	p := m.peers[id]
	return p != nil && p.hasHeartbeat && now.Sub(p.lastHeartbeat) < 3*m.cycleDuration()+m.p.HeartbeatInterval
}

// cycleDuration returns the time in which every target gets a heartbeat.
func (m *Membership) cycleDuration() time.Duration {
	rounds := (len(m.targets) + m.p.Fanout - 1) / m.p.Fanout
	return time.Duration(max(1, rounds)) * m.p.HeartbeatInterval
}

// rebuildTargets rebuilds the sorted list of peers: the roster and the platform's list.
func (m *Membership) rebuildTargets() {
	addrs := make(map[core.InstanceID]string, len(m.roster.Members))
	for id, l := range m.listed {
		addrs[id] = l.PeerAddr
	}
	for _, member := range m.roster.Members {
		addrs[member.Ref.ID] = member.PeerAddr
	}
	delete(addrs, m.self.Ref.ID)
	m.targets = m.targets[:0]
	for id, addr := range addrs {
		m.targets = append(m.targets, target{id, addr})
	}
	slices.SortFunc(m.targets, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	for id := range m.peers {
		if _, ok := addrs[id]; !ok && !m.isFormerHolder(id) {
			delete(m.peers, id)
		}
	}
	m.refreshDigest()
}

func (m *Membership) isFormerHolder(id core.InstanceID) bool {
	for _, g := range m.roster.FormerGenerations {
		for _, h := range g.Holders {
			if h.ID == id {
				return true
			}
		}
	}
	return false
}
