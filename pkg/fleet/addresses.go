package fleet

import (
	"maps"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// MinAddresses is the number of addresses below which an address response is extended with
// more distant Instances, so that a caller has an alternative.
const MinAddresses = 2

// AddressQuery asks for the Instances that a caller should use.
type AddressQuery struct {
	// Region and DataCentre are those of the caller.
	Region     core.RegionName
	DataCentre core.DataCentreName
	// Limit is the largest number of addresses.
	Limit int
	// Allowed are the regions that may be named besides the caller's own. Those in Fallback are
	// named if there is no Instance in the others.
	Allowed  locality.Set
	Fallback locality.Set
}

// Addresses returns the addresses of the Instances that a caller in a DataCentre should
// use: those of its DataCentre, extended by those of its region and then by all others that the
// query allows while there are fewer than MinAddresses. If no Instance is known to be alive, it is the
// one that was alive last: a single address names no dead Instance beside a running one.
func (f *Fleet) Addresses(now core.Instant, q AddressQuery) []string {
	addresses := f.liveAddresses(now, q, q.Allowed)
	if len(addresses) == 0 && q.Allowed.Restricted() {
		addresses = f.liveAddresses(now, q, q.Fallback)
	}
	if len(addresses) == 0 {
		addresses = f.lastAddress(q, q.Allowed)
	}
	if len(addresses) == 0 && q.Allowed.Restricted() {
		addresses = f.lastAddress(q, q.Fallback)
	}
	return addresses[:min(q.Limit, len(addresses))]
}

func (q AddressQuery) allows(m Member, allowed locality.Set) bool {
	return allowed.Allows(m.Region) || m.Region == q.Region && m.Region != ""
}

func (f *Fleet) liveAddresses(now core.Instant, q AddressQuery, allowed locality.Set) []string {
	var local, regional, remote []string
	add := func(m Member) {
		switch {
		case !q.allows(m, allowed):
		case m.DataCentre == q.DataCentre:
			local = append(local, m.CallerAddr)
		case m.Region == q.Region:
			regional = append(regional, m.CallerAddr)
		default:
			remote = append(remote, m.CallerAddr)
		}
	}
	if f.state.takesCallers() {
		add(f.self)
	}
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.lastHeartbeat > 0 && !p.silent && p.state.takesCallers() && f.isAlive(now, p) {
			add(p.member)
		}
	}
	addresses := local
	if len(addresses) < MinAddresses {
		addresses = append(addresses, regional...)
	}
	if len(addresses) < MinAddresses {
		addresses = append(addresses, remote...)
	}
	return addresses
}

// lastAddress returns the address of the allowed peer whose last heartbeat is the newest.
func (f *Fleet) lastAddress(q AddressQuery, allowed locality.Set) []string {
	var last *peer
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if p.lastHeartbeat > 0 && p.state.takesCallers() && q.allows(p.member, allowed) && (last == nil || p.lastHeartbeat > last.lastHeartbeat) {
			last = p
		}
	}
	if last == nil {
		return nil
	}
	return []string{last.member.CallerAddr}
}

func (s State) takesCallers() bool { return s.Serving && !s.Leaving }
