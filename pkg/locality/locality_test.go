package locality

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against two lists without a common region that restrict nothing, and against an
// Upstream of unknown region that serves restricted requests.
func TestExcludingEverythingIsNoFreedom(t *testing.T) {
	is := is.New(t)
	var free Set
	east, west := Only("east"), Only("west", "west")
	none := east.Intersect(west)
	for _, test := range []struct {
		set     Set
		text    string
		allowed []core.RegionName
		refused []core.RegionName
	}{
		{free, "any", []core.RegionName{"", "east", "moon"}, nil},
		{Only(), "any", []core.RegionName{"", "east"}, nil},
		{east, "east", []core.RegionName{"east"}, []core.RegionName{"", "west"}},
		{Only(""), "", nil, []core.RegionName{"", "east"}},
		{none, "none", nil, []core.RegionName{"", "east", "west"}},
		{none.Intersect(free), "none", nil, []core.RegionName{"", "east"}},
		{free.Intersect(east), "east", []core.RegionName{"east"}, []core.RegionName{"west"}},
		{none.Union(none), "none", nil, []core.RegionName{"east"}},
		{east.Union(west), "east, west", []core.RegionName{"east", "west"}, []core.RegionName{""}},
		{none.Union(west), "west", []core.RegionName{"west"}, []core.RegionName{"east"}},
		{east.Union(free), "any", []core.RegionName{"moon"}, nil},
	} {
		is.Equal(test.set.String(), test.text)
		for _, region := range test.allowed {
			is.True(test.set.Allows(region))
		}
		for _, region := range test.refused {
			is.True(!test.set.Allows(region))
		}
	}
	is.True(!none.Equal(free))
	is.True(none.ExcludesAll() && Only("").ExcludesAll() && !free.ExcludesAll() && !east.ExcludesAll())
	is.Equal(Only("east", "moon").Unknown(east.Allows), []core.RegionName{"moon"})
}
