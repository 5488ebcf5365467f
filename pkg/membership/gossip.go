package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// OnHeartbeat handles a peer's heartbeat. Heartbeats of an earlier incarnation are
// rejected. Duplicated or reordered heartbeats are harmless, as values only
// increase.
func (m *Membership) OnHeartbeat(now core.Instant, h Heartbeat) []Output {
	if h.From.ID == m.self.Ref.ID {
		return nil
	}
	if p := m.peers[h.From.ID]; p != nil && h.From.Incarnation < p.row.Ref.Incarnation {
		return nil
	}
	out := m.mergeRow(now, Row{Ref: h.From, Epoch: h.Epoch, Leaving: h.Leaving})
	p := m.peers[h.From.ID]
	p.hasHeartbeat = true
	p.lastHeartbeat = now
	if h.Seq > p.lastSeq {
		p.lastSeq = h.Seq
		p.digest = h.Digest
	}
	m.confirmEpoch(p, h)
	for _, row := range h.Rows {
		if row.Ref.ID != m.self.Ref.ID {
			out = append(out, m.mergeRow(now, row)...)
		}
	}
	if h.Epoch > m.roster.Epoch && now >= m.nextRosterReadAt {
		m.nextRosterReadAt = now.Add(m.p.HeartbeatInterval)
		out = append(out, ReadRoster{From: h.From.ID})
	}
	return append(out, m.checkHandover(now)...)
}

// confirmEpoch records that the sender was at no later epoch than this Instance
// after it received round h.Echo, and so after that round was sent.
func (m *Membership) confirmEpoch(p *peer, h Heartbeat) {
	if h.Epoch > m.roster.Epoch || h.EchoOf != m.self.Ref.Incarnation || h.Echo == 0 {
		return
	}
	if h.Echo > m.seq || m.seq-h.Echo >= trackedRounds {
		return
	}
	sent := m.sentAt[h.Echo%trackedRounds]
	if !p.epochConfirmed || sent > p.epochConfirmedAt {
		p.epochConfirmedAt = sent
		p.epochConfirmed = true
	}
}

// mergeRow merges a row into the state of its peer. A higher incarnation replaces
// the state, and the previous incarnation is reported as dead.
func (m *Membership) mergeRow(now core.Instant, row Row) []Output {
	id := row.Ref.ID
	if id == m.self.Ref.ID {
		return nil
	}
	p := m.peers[id]
	if p == nil {
		m.peers[id] = &peer{row: row, changedAt: now}
		m.digest ^= digestOf(row)
		return nil
	}
	old := p.row
	switch {
	case row.Ref.Incarnation < old.Ref.Incarnation:
		return nil
	case row.Ref.Incarnation > old.Ref.Incarnation:
		*p = peer{row: row, changedAt: now}
		m.digest ^= digestOf(old) ^ digestOf(row)
		return []Output{IncarnationDead{Ref: old.Ref}}
	}
	p.row.Epoch = max(old.Epoch, row.Epoch)
	p.row.Leaving = old.Leaving || row.Leaving
	if p.row != old {
		p.changedAt = now
		m.digest ^= digestOf(old) ^ digestOf(p.row)
	}
	return nil
}

// sendRound sends heartbeats to the next Fanout targets.
func (m *Membership) sendRound(now core.Instant) []Output {
	m.seq++
	m.sentAt[m.seq%trackedRounds] = now
	count := min(m.p.Fanout, len(m.targets))
	changed := m.changedRows(now)
	out := make([]Output, 0, count)
	for range count {
		t := m.targets[m.cursor%len(m.targets)]
		m.cursor = (m.cursor + 1) % len(m.targets)
		out = append(out, SendHeartbeat{To: t.id, PeerAddr: t.addr, Heartbeat: m.heartbeat(t.id, changed)})
	}
	return out
}

func (m *Membership) heartbeat(to core.InstanceID, changed []Row) Heartbeat {
	h := Heartbeat{
		From:    m.self.Ref,
		Seq:     m.seq,
		Epoch:   m.roster.Epoch,
		Leaving: m.self.Leaving,
		Digest:  m.ownDigest(),
	}
	p := m.peers[to]
	if p != nil && p.hasHeartbeat {
		h.Echo = p.lastSeq
		h.EchoOf = p.row.Ref.Incarnation
	}
	if p == nil || p.digest != h.Digest {
		h.Rows = m.sampleRows(changed)
	}
	return h
}

// changedRows returns the rows that changed within three cycles, in order of id.
// Older changes have reached every peer in direct heartbeats.
func (m *Membership) changedRows(now core.Instant) []Row {
	var rows []Row
	for _, t := range m.targets {
		p := m.peers[t.id]
		if p != nil && now.Sub(p.changedAt) < 3*m.cycleDuration() {
			rows = append(rows, p.row)
		}
	}
	return rows
}

// sampleRows returns up to MaxRowsPerHeartbeat consecutive rows, starting at a
// random one.
func (m *Membership) sampleRows(rows []Row) []Row {
	if len(rows) == 0 {
		return nil
	}
	count := min(len(rows), m.p.MaxRowsPerHeartbeat)
	start := m.p.Random.IntN(len(rows))
	out := make([]Row, 0, count)
	for i := range count {
		out = append(out, rows[(start+i)%len(rows)])
	}
	return out
}

// ownDigest returns the digest of all rows including this Instance's own row, which
// the peers' digests include too.
func (m *Membership) ownDigest() uint64 {
	own := Row{Ref: m.self.Ref, Epoch: m.roster.Epoch, Leaving: m.self.Leaving}
	return m.digest ^ digestOf(own)
}

func (m *Membership) refreshDigest() {
	m.digest = 0
	for _, p := range m.peers {
		m.digest ^= digestOf(p.row)
	}
}

func digestOf(r Row) uint64 {
	x := xxhash.Sum64String(string(r.Ref.ID))
	x = mix(x ^ uint64(r.Ref.Incarnation))
	x = mix(x ^ uint64(r.Epoch))
	if r.Leaving {
		x = mix(x ^ 1)
	}
	return x
}
