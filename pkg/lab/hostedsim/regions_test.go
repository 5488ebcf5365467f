package hostedsim

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against requests that leave their regions while engines crash, Upstreams leave, Instances are
// killed and paused and the regions are cut, and against refusals while the allowed region has room.
func TestRestrictedAccountStaysInItsRegion(t *testing.T) {
	is := is.New(t)
	calm := runExperiment(t, func(x *Experiment) { x.Accounts[1].AllowedRegions = []core.RegionName{"west"} })
	is.True(calm.Accounts["tavern"].Goodput() >= 0.9)
	faulty := runExperiment(t, func(x *Experiment) {
		x.Accounts[1].AllowedRegions = []core.RegionName{"west"}
		x.Faults = []Fault{
			{Kind: FaultEngineCrash, StartSeconds: 2, DurationSeconds: 4, Count: 5},
			{Kind: FaultUpstreamLeaves, StartSeconds: 4, DurationSeconds: 5, Count: 8},
			{Kind: FaultInstanceKill, StartSeconds: 6, DurationSeconds: 2, Count: 3},
			{Kind: FaultRegionCut, StartSeconds: 9, DurationSeconds: 4},
			{Kind: FaultInstancePause, StartSeconds: 14, DurationSeconds: 3, Count: 2},
		}
	})
	is.True(faulty.Accounts["tavern"].Goodput() > 0.3)
}
