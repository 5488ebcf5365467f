package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// HomeSet returns the home set of an account: k Instances, or all that are not
// leaving if there are fewer, chosen by rendezvous hashing. Each is the one with the
// highest weight among the DataCentres that the set uses least, so a DataCentre is
// used again only when all have been used equally often.
func HomeSet(roster Roster, account core.AccountID, k int) []core.InstanceID {
	seed := xxhash.Sum64String(string(account))
	chosen := make([]int, 0, 8)
	for len(chosen) < k {
		best := -1
		bestUsed := 0
		var bestWeight uint64
		for i := range roster.Members {
			member := &roster.Members[i]
			if member.Leaving || slices.Contains(chosen, i) {
				continue
			}
			used := countInDataCentre(roster, chosen, member.DataCentre)
			weight := weightOf(seed, member.Ref.ID)
			better := used < bestUsed || used == bestUsed && weight > bestWeight
			if best < 0 || better {
				best = i
				bestUsed = used
				bestWeight = weight
			}
		}
		if best < 0 {
			break
		}
		chosen = append(chosen, best)
	}
	home := make([]core.InstanceID, 0, len(chosen))
	for _, i := range chosen {
		home = append(home, roster.Members[i].Ref.ID)
	}
	return home
}

func countInDataCentre(roster Roster, chosen []int, dc core.DataCentreName) int {
	used := 0
	for _, i := range chosen {
		if roster.Members[i].DataCentre == dc {
			used++
		}
	}
	return used
}

func weightOf(seed uint64, id core.InstanceID) uint64 {
	return mix(seed ^ xxhash.Sum64String(string(id)))
}

// mix is the finalizer of splitmix64; it spreads the bits of combined hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
