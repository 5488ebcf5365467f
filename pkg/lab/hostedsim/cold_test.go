package hostedsim

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against cold Upstreams that get more than they can take from a whole fleet, in a burst, with a
// third of the Instances cut off from the others and some restarting, and against requests that are
// refused although warm Upstreams have room.
func TestColdUpstreamsStayBelowTheirLimit(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		perDataCentre int
		calls         float64
		cold          float64
	}{{2, 120, 3}, {21, 300, 3}, {2, 120, 19}, {21, 300, 19}} { // at 19, the runs of earlier holds fit into the limit
		for _, disturbed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/cold=%.0f/disturbed=%t", 4*size.perDataCentre, size.cold, disturbed), func(t *testing.T) {
				is := is.New(t)
				r := runExperiment(t, func(x *Experiment) {
					x.Instances, x.Calls.PerSecond, x.ColdPerSecond = size.perDataCentre, size.calls, size.cold
					x.PlainUpstreams = 3
					x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
					x.Faults = []Fault{
						{Kind: FaultUpstreamCold, StartSeconds: 3, DurationSeconds: 10, Count: 7},
						{Kind: FaultUpstreamCold, StartSeconds: 9, DurationSeconds: 8, Count: 7}, // some become cold again
						{Kind: FaultBurst, StartSeconds: 5, DurationSeconds: 4, Factor: 1.5},
					}
					if disturbed {
						x.Faults = append(x.Faults,
							Fault{Kind: FaultPeerCut, StartSeconds: 2, DurationSeconds: 12, Count: 4 * size.perDataCentre / 3},
							Fault{Kind: FaultInstanceKill, StartSeconds: 4, DurationSeconds: 2, Count: size.perDataCentre / 2},
							Fault{Kind: FaultInstanceKill, StartSeconds: 8, DurationSeconds: 1, Count: size.perDataCentre / 2},
							Fault{Kind: FaultInstancePause, StartSeconds: 6, DurationSeconds: 3, Count: size.perDataCentre / 2})
					}
				})
				t.Logf("largest use %.2f, goodput of calls %.3f, of streams %.3f", r.PeakColdUse, r.Calls.Goodput(), r.Streams.Goodput())
				is.True(r.PeakColdUse > 0)
				is.True(r.PeakColdUse <= 1)
				if !disturbed {
					is.True(r.Calls.Goodput() >= 0.97)
				}
			})
		}
	}
}
