package membership

import (
	"cmp"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Membership is one Instance's view of the fleet.
type Membership struct {
	self     Member
	p        Params
	roster   Roster
	base     uint64
	listed   []Listed
	nextBeat core.Instant
	seq      uint64
}

// New returns the view of a starting Instance. It serves once a roster that
// holds its own incarnation is in force.
func New(self Member, p Params) *Membership {
	return &Membership{self: self, p: p.withDefaults()}
}

// OnList takes the platform's list.
func (m *Membership) OnList(now core.Instant, list []Listed) []Output {
	m.listed = slices.Clone(list)
	return m.propose()
}

func (m *Membership) propose() []Output {
	var members []Member
	for _, l := range m.listed {
		member := Member{
			Ref:        core.InstanceRef{ID: l.ID, Incarnation: 1},
			DataCentre: l.DataCentre,
			Region:     l.Region,
			PeerAddr:   l.PeerAddr,
			CallerAddr: l.CallerAddr,
			Leaving:    l.State == Leaving,
		}
		if old, ok := m.roster.Member(l.ID); ok {
			member.Ref = old.Ref
		}
		if l.ID == m.self.Ref.ID {
			member = m.self
		}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	if slices.Equal(members, m.roster.Members) {
		return nil
	}
	return []Output{WriteRoster{Base: m.base, Roster: Roster{Epoch: m.roster.Epoch + 1, Members: members}}}
}

// OnRosterRead takes a roster read from the store.
func (m *Membership) OnRosterRead(now core.Instant, r Roster, storeVersion uint64) []Output {
	if r.Epoch <= m.roster.Epoch {
		return nil
	}
	r.Settled = true
	m.roster = r
	m.base = storeVersion
	return []Output{RosterInForce{Roster: r}, HoldUntil{Until: core.Never}}
}

// OnWriteFailed handles a conflict, an error or a lost answer of a roster write.
func (m *Membership) OnWriteFailed(now core.Instant) []Output {
	return []Output{ReadRoster{}}
}

// OnHeartbeat takes a peer's heartbeat.
func (m *Membership) OnHeartbeat(now core.Instant, h Heartbeat) []Output {
	if h.Epoch > m.roster.Epoch {
		return []Output{ReadRoster{From: h.From.ID}}
	}
	return nil
}

// Leave starts this Instance's graceful shutdown.
func (m *Membership) Leave(now core.Instant) []Output {
	m.self.Leaving = true
	return m.propose()
}

// Addresses returns the addresses for the callers of an account in a region.
func (m *Membership) Addresses(now core.Instant, region core.RegionName, account core.AccountID) Addresses {
	var out Addresses
	for _, member := range m.roster.Members {
		if !member.Leaving {
			out.CallerAddrs = append(out.CallerAddrs, member.CallerAddr)
		}
	}
	out.KeepFor = m.p.KeepFor
	return out
}

// Tick sends the heartbeats that are due.
func (m *Membership) Tick(now core.Instant) []Output {
	if now < m.nextBeat {
		return nil
	}
	m.nextBeat = now.Add(m.p.Period)
	m.seq++
	var out []Output
	for _, member := range m.roster.Members {
		if member.Ref.ID == m.self.Ref.ID {
			continue
		}
		beat := Heartbeat{From: m.self.Ref, Seq: m.seq, Epoch: m.roster.Epoch, Leaving: m.self.Leaving}
		out = append(out, SendHeartbeat{To: member.Ref.ID, PeerAddr: member.PeerAddr, Heartbeat: beat})
	}
	return out
}

// NextWake returns when the next Tick is due.
func (m *Membership) NextWake() core.Instant { return m.nextBeat }

// Roster returns the roster in force.
func (m *Membership) Roster() Roster { return m.roster }

// Alive reports whether the Instance has been heard recently.
func (m *Membership) Alive(now core.Instant, id core.InstanceID) bool {
	_, ok := m.roster.Member(id)
	return ok
}
