package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Numbers of addresses in a reply beyond the home set. Callers need a few
// alternatives, not all of 330 Instances.
const (
	maxRegionalAddresses = 6 // in the caller's region
	maxRemoteAddresses   = 3 // in other regions, in case the caller's region is unreachable
)

// Addresses returns the addresses for the callers of an account in a region: the
// home set first, then other Instances of the region, then those of other regions.
// Silent Instances come after all live ones, and Instances known to be leaving are
// omitted. While the handover of the roster is pending, the TTL is halved.
func (m *Membership) Addresses(now core.Instant, region core.RegionName, account core.AccountID) Addresses {
	type candidate struct {
		member Member
		class  int
		weight uint64
	}
	home := HomeSet(m.roster, account, m.p.HomeSize)
	seed := xxhash.Sum64String(string(account))
	var candidates []candidate
	for _, member := range m.roster.Members {
		if m.isLeaving(member) {
			continue
		}
		class := m.addressClass(now, member, region, slices.Contains(home, member.Ref.ID))
		candidates = append(candidates, candidate{member, class, weightOf(seed, member.Ref.ID)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.weight, a.weight))
	})
	var out Addresses
	regional, remote := 0, 0
	for _, c := range candidates {
		isHome := slices.Contains(home, c.member.Ref.ID)
		inRegion := c.member.Region == region
		switch {
		case isHome:
		case inRegion && regional < maxRegionalAddresses:
			regional++
		case !inRegion && remote < maxRemoteAddresses:
			remote++
		default:
			continue
		}
		out.CallerAddrs = append(out.CallerAddrs, c.member.CallerAddr)
	}
	out.TTL = m.p.AddressTTL
	if !m.roster.HandoverComplete {
		out.TTL /= 2
	}
	return out
}

// addressClass returns the sort class of an Instance, lowest first: live before
// silent, then members of the home set, then the caller's region.
func (m *Membership) addressClass(now core.Instant, member Member, region core.RegionName, home bool) int {
	class := 0
	if !m.Alive(now, member.Ref.ID) {
		class += 4
	}
	if !home {
		class += 2
	}
	if member.Region != region {
		class++
	}
	return class
}

func (m *Membership) isLeaving(member Member) bool {
	id := member.Ref.ID
	if member.Leaving || (id == m.self.Ref.ID && m.self.Leaving) {
		return true
	}
	if p := m.peers[id]; p != nil && p.row.Ref == member.Ref && p.row.Leaving {
		return true
	}
	return m.listed[id].State == Leaving
}
