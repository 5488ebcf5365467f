package fleet

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// MadeAt returns the latest instant at which a heartbeat of a peer can have been made, on the clock of
// this Instance. It returns false while the clock of the peer is not known: the heartbeat may have been
// delayed by any time then.
func (f *Fleet) MadeAt(from core.InstanceRef, stamp *Stamp) (core.Instant, bool) {
	p := f.peers[from.ID]
	if p == nil || stamp == nil || p.member.Ref != from || p.life.incarnation != from.Incarnation || !p.life.paced {
		return 0, false
	}
	return stamp.MadeAt.Add(p.life.offset), true
}

// ReaderRank returns the number of live Instances of the Region that come before this one in the choice
// of the readers, up to readersPerRegion. This Instance is a reader if it is below that.
func (f *Fleet) ReaderRank() int {
	own, ahead := readerHash(f.self), 0
	for _, p := range f.peers {
		if p.member.Region == f.self.Region && p.lastHeartbeat > 0 && !p.silent && !p.state.Leaving && readerHash(p.member) > own {
			ahead++
		}
	}
	return min(ahead, readersPerRegion)
}

// ReaderPart returns which of the readers of its Region serves an Instance, by ReaderRank.
func ReaderPart(m Member) int { return int(readerHash(m) % readersPerRegion) }

// PeerProcess returns a known peer if it is still the process of ref.
func (f *Fleet) PeerProcess(ref core.InstanceRef) (Member, bool) {
	member, found := f.Peer(ref.ID)
	return member, found && member.Ref == ref
}
