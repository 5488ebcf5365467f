// Package locality restricts requests to regions. It is pure.
package locality

import (
	"slices"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Set is the set of regions in which a request may be processed. The zero value restricts
// nothing, unlike a Set that excludes every region: the intersection of two lists without a
// common region. A Set is immutable.
type Set struct {
	restricted bool
	regions    []core.RegionName // sorted, without duplicates
}

// Only returns the Set of the listed regions. An empty list restricts nothing.
func Only(regions ...core.RegionName) Set {
	if len(regions) == 0 {
		return Set{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Set{restricted: true, regions: slices.Compact(sorted)}
}

// Restricted reports whether any region may be excluded.
func (s Set) Restricted() bool { return s.restricted }

// Allows reports whether a region is in the Set. The empty name stands for an unknown region,
// which only an unrestricted Set allows.
func (s Set) Allows(region core.RegionName) bool {
	return !s.restricted || region != "" && slices.Contains(s.regions, region)
}

// Intersect returns the regions that both Sets allow.
func (s Set) Intersect(other Set) Set {
	if !s.restricted {
		return other
	}
	if !other.restricted {
		return s
	}
	both := Set{restricted: true}
	for _, region := range s.regions {
		if slices.Contains(other.regions, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}

// Union returns the regions that at least one of the Sets allows.
func (s Set) Union(other Set) Set {
	if !s.restricted || !other.restricted {
		return Set{}
	}
	return Set{restricted: true, regions: Only(slices.Concat(s.regions, other.regions)...).regions}
}

// Equal reports whether two Sets allow the same regions.
func (s Set) Equal(other Set) bool {
	return s.restricted == other.restricted && slices.Equal(s.regions, other.regions)
}

// ExcludesAll reports whether the Set allows no region, as the intersection of two lists without a
// common region or a list of empty names does.
func (s Set) ExcludesAll() bool {
	for _, region := range s.regions {
		if region != "" {
			return false
		}
	}
	return s.restricted
}

// Unknown returns the regions of the Set that are not known. They allow no Upstream.
func (s Set) Unknown(known func(core.RegionName) bool) []core.RegionName {
	var unknown []core.RegionName
	for _, region := range s.regions {
		if !known(region) {
			unknown = append(unknown, region)
		}
	}
	return unknown
}

// String returns the regions for messages: "any", "none" or the names.
func (s Set) String() string {
	switch {
	case !s.restricted:
		return "any"
	case len(s.regions) == 0:
		return "none"
	}
	names := make([]string, len(s.regions))
	for i, region := range s.regions {
		names[i] = string(region)
	}
	return strings.Join(names, ", ")
}
