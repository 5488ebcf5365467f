package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Stamp states when a heartbeat was made and what its sender knows of the peers of its DataCentre.
// It lets receivers ignore heartbeats that a partition has delayed, and name Instances in address
// responses although each one's own heartbeats are rare in a large fleet.
type Stamp struct {
	// MadeAt is the instant on the sender's clock, which starts with its incarnation and includes the
	// time for which the machine was suspended. Receivers compare it only with earlier stamps of the
	// same incarnation, never with their own clock.
	MadeAt core.Instant
	// Vouches says that the sender heard from all peers of its DataCentre within its contact time,
	// except from those in Lost.
	Vouches bool
	Lost    []LostPeer
}

// LostPeer is a peer that the sender of a Stamp has not heard for its contact time.
type LostPeer struct {
	Ref core.InstanceRef
	// Age is the time since the peer was known to be alive.
	Age time.Duration
}

const (
	// defaultContactTime is the bound of small sites. Others set it.
	defaultContactTime = 4 * time.Second
	// contactMargin is the time after ContactTime in which a dead Instance may still be named.
	// The platform allows 3 s; 1 s of it is left for clocks, queues and transit.
	contactMargin = 2 * time.Second
	// maxClockDrift bounds the difference in speed of two clocks. Time synchronisation changes a
	// clock by at most 500 ppm.
	maxClockDrift = 1e-3
	// A peer's clock is known once two heartbeats that were made at least minPacing apart arrive as
	// far apart as they were made, with pacingTolerance for jitter. Delayed heartbeats arrive in a
	// burst.
	minPacing       = 300 * time.Millisecond
	pacingTolerance = 100 * time.Millisecond
	// voucherTime is the time for which a voucher of a DataCentre's member counts. With the contact
	// time, after which the member reports a peer as lost, it is below the time in which a dead
	// Instance may be named.
	voucherTime = 1500 * time.Millisecond
	// lostReportTime is the time for which a lost peer is reported. All members of a DataCentre
	// detect the loss within two of their heartbeat intervals, and each receiver accepts no vouchers
	// for a peer after it heard nothing of it for voucherTime: it can't miss all reports.
	lostReportTime = 6 * time.Second
	// maxLostPeers bounds the peers in one Stamp to 1 KB. With more of them, the sender does not
	// vouch.
	maxLostPeers = 32
)

// liveness is what an Instance knows of when an incarnation of a peer was alive.
type liveness struct {
	incarnation core.Incarnation
	// unstamped is set for a peer that sends no stamps: an older version, whose heartbeats count
	// when they arrive.
	unstamped bool
	// offset is the smallest known difference between the arrival of a heartbeat and MadeAt. It is
	// that of the least delayed one.
	offset   time.Duration
	offsetAt core.Instant
	// anchor is MadeAt of the heartbeat from which the pacing is measured.
	anchor    core.Instant
	hasAnchor bool
	paced     bool // offset is known not to be that of delayed heartbeats
	// aliveAt is the latest instant at which the peer is known to have been alive by its own
	// heartbeats, vouchedAt by those of other members of its DataCentre.
	aliveAt   core.Instant
	vouchedAt core.Instant
	// lost is set from the report of another member that the peer is lost to the peer's next
	// heartbeat.
	lost bool
}

// observe processes the stamp of a heartbeat and returns the instant at which the heartbeat was
// made on the receiver's clock, as far as that is known, else now.
func (l *liveness) observe(now core.Instant, stamp *Stamp) core.Instant {
	l.unstamped = stamp == nil
	if stamp == nil {
		l.aliveAt, l.lost = now, false
		return now
	}
	offset := now.Sub(stamp.MadeAt)
	if !l.hasAnchor {
		l.hasAnchor, l.anchor = true, stamp.MadeAt
		l.offset, l.offsetAt = offset, now
		return now
	}
	allowed := l.offset + time.Duration(maxClockDrift*float64(now.Sub(l.offsetAt)))
	l.offsetAt = now
	if !l.paced {
		switch {
		case offset < l.offset-pacingTolerance: // the earlier ones were delayed
			l.anchor = stamp.MadeAt
		case offset <= l.offset+pacingTolerance && stamp.MadeAt.Sub(l.anchor) >= minPacing:
			l.paced = true
		}
	}
	l.offset = min(offset, allowed)
	if !l.paced {
		return now
	}
	madeAt := stamp.MadeAt.Add(l.offset)
	if madeAt > l.aliveAt {
		l.aliveAt, l.lost = madeAt, false
	}
	return madeAt
}

// isAlive reports whether a peer may be named to callers: it was alive at most ContactTime and
// contactMargin ago, by its own heartbeats or by a voucher.
func (f *Fleet) isAlive(now core.Instant, p *peer) bool {
	l := &p.life
	if l.unstamped || l.lost {
		return l.unstamped
	}
	return l.aliveAt > 0 && now.Sub(l.aliveAt) <= f.params.ContactTime+contactMargin ||
		l.vouchedAt > 0 && now.Sub(l.vouchedAt) <= voucherTime
}

// intervalTo returns the time between two heartbeats to or from a peer.
func (f *Fleet) intervalTo(m Member) time.Duration {
	if m.DataCentre == f.self.DataCentre {
		return f.localInterval()
	}
	return f.remoteInterval()
}

// Stamp returns the stamp of a heartbeat that is made now.
func (f *Fleet) Stamp(now core.Instant) *Stamp {
	stamp := &Stamp{MadeAt: now}
	localInterval := f.localInterval()
	// A receiver needs vouchers if its own heartbeats from a peer are about as rare as it may be
	// silent. A sender can give them if it hears its DataCentre more often than the contact time.
	if 3*f.remoteInterval() < f.params.ContactTime+contactMargin || localInterval+localInterval/2 > f.params.ContactTime {
		return stamp
	}
	stamp.Vouches = true
	for _, p := range f.peers {
		if p.member.DataCentre != f.self.DataCentre || p.life.unstamped || p.lastHeartbeat == 0 {
			continue // the store lists Instances that ended long ago again and again
		}
		last := max(p.life.aliveAt, p.listedAt)
		if !p.life.paced {
			last = max(last, p.lastHeartbeat)
		}
		age := now.Sub(last)
		if age <= f.params.ContactTime || age > f.params.ContactTime+lostReportTime {
			continue
		}
		stamp.Lost = append(stamp.Lost, LostPeer{Ref: p.member.Ref, Age: age})
	}
	if len(stamp.Lost) > maxLostPeers {
		stamp.Vouches, stamp.Lost = false, nil
	}
	slices.SortFunc(stamp.Lost, func(a, b LostPeer) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return stamp
}

// takeVouchers processes what the sender of a heartbeat knows of the peers of its DataCentre. A
// voucher only prolongs the time in which a peer counts as alive: after that, the peer's own
// heartbeats are needed.
func (f *Fleet) takeVouchers(from *peer, stamp *Stamp) {
	if stamp == nil || !stamp.Vouches || !from.life.paced {
		return
	}
	madeAt := stamp.MadeAt.Add(from.life.offset)
	for id, p := range f.peers {
		if p == from || p.member.DataCentre != from.member.DataCentre {
			continue
		}
		i := slices.IndexFunc(stamp.Lost, func(lost LostPeer) bool { return lost.Ref.ID == id })
		switch {
		case i < 0:
			if f.isAlive(madeAt, p) {
				p.life.vouchedAt = max(p.life.vouchedAt, madeAt)
			}
		case stamp.Lost[i].Ref == p.member.Ref && max(p.life.aliveAt, p.life.vouchedAt.Add(-f.params.ContactTime)) <= madeAt.Add(-stamp.Lost[i].Age):
			p.life.lost = true // nobody is known to have heard it later
		}
	}
}

// LivenessCounts are numbers of peers and heartbeats for the metrics.
type LivenessCounts struct {
	// NotNamed is the number of live peers that address responses leave out, because it is not known
	// that they are alive.
	NotNamed int
	// DelayedHeartbeats counts the heartbeats that were ignored because they were made long ago.
	DelayedHeartbeats int64
}

// LivenessCounts returns the current numbers.
func (f *Fleet) LivenessCounts(now core.Instant) LivenessCounts {
	counts := LivenessCounts{DelayedHeartbeats: f.delayedHeartbeats}
	for _, p := range f.peers {
		if p.lastHeartbeat > 0 && !p.silent && p.state.takesCallers() && !f.isAlive(now, p) {
			counts.NotNamed++
		}
	}
	return counts
}
