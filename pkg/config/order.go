package config

import (
	"bytes"
	"maps"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// SortedHashes returns the hashes of the pieces in ascending order.
func SortedHashes(pieces map[Hash][]byte) []Hash {
	return slices.SortedFunc(maps.Keys(pieces), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
}

// WithVersion returns a copy of the root with a higher version. The revocations that
// r.Version made get the new version too.
func (r Root) WithVersion(version core.Version) Root {
	revoked := slices.Clone(r.Revocations)
	for i := range revoked {
		if revoked[i].Version == r.Version {
			revoked[i].Version = version
		}
	}
	r.Version = version
	r.Revocations = revoked
	return r
}
