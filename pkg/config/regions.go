package config

import (
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// HostRegions returns the regions that all restricted routes of a host allow, and those that at
// least one of them allows. Both are unrestricted if no route of the host is restricted. Routes
// without a restriction do not widen the result: the directory does not know which route its
// caller will use.
func (r *Routing) HostRegions(host string) (all, any locality.Set) {
	for _, route := range r.byHost[host] {
		if !route.AllowedRegions.Restricted() {
			continue
		}
		if !all.Restricted() {
			all, any = route.AllowedRegions, route.AllowedRegions
			continue
		}
		all, any = all.Intersect(route.AllowedRegions), any.Union(route.AllowedRegions)
	}
	return all, any
}

// UnknownRegions returns the region names of the configuration that are not known, sorted.
func (r *Routing) UnknownRegions(known func(core.RegionName) bool) []core.RegionName {
	var unknown []core.RegionName
	for i := range r.Routes {
		unknown = append(unknown, r.Routes[i].AllowedRegions.Unknown(known)...)
	}
	for i := range r.Accounts {
		unknown = append(unknown, r.Accounts[i].AllowedRegions.Unknown(known)...)
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}
