package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Home returns the home set of an account: k Instances (fewer when the roster
// has fewer that are not leaving), chosen by rendezvous hashing and spread over
// data centres as far as there are enough. The result is in order of weight.
func Home(roster Roster, account core.AccountID, k int) []core.InstanceID {
	type candidate struct {
		id     core.InstanceID
		dc     core.DataCentreName
		weight uint64
	}
	seed := xxhash.Sum64String(string(account))
	candidates := make([]candidate, 0, len(roster.Members))
	for _, m := range roster.Members {
		if m.Leaving {
			continue
		}
		weight := mix(seed ^ xxhash.Sum64String(string(m.Ref.ID)))
		candidates = append(candidates, candidate{m.Ref.ID, m.DataCentre, weight})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	home := make([]core.InstanceID, 0, k)
	perDC := map[core.DataCentreName]int{}
	for round := 0; len(home) < min(k, len(candidates)); round++ {
		for _, c := range candidates {
			if len(home) < k && perDC[c.dc] == round && !slices.Contains(home, c.id) {
				perDC[c.dc]++
				home = append(home, c.id)
			}
		}
	}
	return home
}

// mix is the finalizer of splitmix64; it spreads the bits of combined hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
