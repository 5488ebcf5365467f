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
	storeVersion      uint64 // of roster
	storeVersionKnown bool
	proposeAt         core.Instant // Never when no proposal is scheduled
	writeTimeoutAt    core.Instant // when a write without a reply is resolved by a read; Never without a write
	nextRosterReadAt  core.Instant // no ReadRoster before, unless a write failed or this Instance is listed again
	fences            map[core.Epoch]fence
	entitlementExpiry core.Instant
	stopped           bool

	listed       map[core.InstanceID]ListEntry
	missingSince map[core.InstanceID]core.Instant
	wasListed    bool

	peers   map[core.InstanceID]*peer
	targets []target // peers to send heartbeats to, sorted by id
	cursor  int      // index of the next target
	digest  uint64

	nextHeartbeatAt core.Instant
	seq             uint64
	sentAt          [trackedRounds]core.Instant // by Seq modulo its length
}

// trackedRounds is the number of rounds whose send times are kept. It covers the
// default EntitlementTTL of 45 rounds.
const trackedRounds = 64

// peer is what this Instance knows about another one.
type peer struct {
	row           Row
	changedAt     core.Instant // when row last changed
	lastHeartbeat core.Instant // of this incarnation, by the local clock
	hasHeartbeat  bool
	lastSeq       uint64 // highest Seq of this incarnation
	digest        uint64 // in the heartbeat lastSeq
	// epochConfirmedAt is the latest instant of this Instance's clock after which the
	// peer is known to have been at no later epoch than this Instance.
	epochConfirmedAt core.Instant
	epochConfirmed   bool
}

type target struct {
	id   core.InstanceID
	addr string
}

// New returns the view of a starting Instance. It serves once a roster that has its
// incarnation is active.
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

// Reset starts a new incarnation after a pause and discards all earlier state.
func (m *Membership) Reset(self core.InstanceRef) {
	member := m.self
	member.Ref = self
	*m = *New(member, m.p)
}

// OnList handles the platform's list. An empty list is ignored, as the platform
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
	m.scheduleProposal(now)
	return out
}

// checkSelfListed stops this Instance when the list no longer has it. A starting
// Instance that has not been listed yet continues, as the list lags.
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

// Leave starts this Instance's graceful shutdown. It sends a round of heartbeats
// immediately and schedules a roster that gives its entitlements to others.
func (m *Membership) Leave(now core.Instant) []Output {
	m.self.Leaving = true
	m.scheduleProposal(now)
	return m.sendRound(now)
}

// Tick performs the actions that are due: heartbeats, a scheduled proposal, the end
// of a fencing wait, and the read after a write without a reply.
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
		m.scheduleProposal(now)
	}
	return out
}

// jittered returns a duration within 10% of d.
func jittered(random *rand.Rand, d time.Duration) time.Duration {
	return d*9/10 + time.Duration(random.Int64N(int64(d)/5+1))
}

// NextWake returns when the next Tick is due. Fencing waits and reads are checked
// once per HeartbeatInterval, together with the heartbeats.
func (m *Membership) NextWake() core.Instant {
	return core.Earliest(m.nextHeartbeatAt, m.proposeAt, m.writeTimeoutAt)
}

// Roster returns the active roster.
func (m *Membership) Roster() Roster { return m.roster }

// Alive reports whether a heartbeat of the Instance arrived within the last three
// cycles and one HeartbeatInterval. It is true for this Instance.
func (m *Membership) Alive(now core.Instant, id core.InstanceID) bool {
	if id == m.self.Ref.ID {
		return true
	}
	p := m.peers[id]
	return p != nil && p.hasHeartbeat && now.Sub(p.lastHeartbeat) < 3*m.cycleDuration()+m.p.HeartbeatInterval
}

// cycleDuration returns the time in which every target is sent a heartbeat.
func (m *Membership) cycleDuration() time.Duration {
	rounds := (len(m.targets) + m.p.Fanout - 1) / m.p.Fanout
	return time.Duration(max(1, rounds)) * m.p.HeartbeatInterval
}

// rebuildTargets sets the heartbeat targets to the members of the roster and the
// platform's list, and forgets peers that are in neither and hold no former
// entitlements.
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
