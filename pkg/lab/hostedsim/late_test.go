package hostedsim

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against refused callers that return after a burst and keep the engines full, so that new
// callers are late or refused although the burst is over.
func TestReturningCallersLeaveRoomForNewOnes(t *testing.T) {
	const firstWindowAfterBurst, windowsAfterBurst = 5, 2
	for _, seed := range []uint64{1, 2} {
		is := is.New(t)
		r := runExperiment(t, func(x *Experiment) {
			x.Seed, x.Seconds = seed, 24
			x.Calls.PerSecond = 5
			x.Accounts = []AccountSettings{{Name: "bakery", Share: 1, Rate: 30_000_000, Burst: 30_000_000}}
			x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 5, DurationSeconds: 4, Factor: 6}}
		})
		var after Counts
		for _, window := range r.Windows[firstWindowAfterBurst : firstWindowAfterBurst+windowsAfterBurst] {
			after.Requests += window.Requests
			after.OnTime += window.OnTime
		}
		is.True(after.Goodput() >= 0.95)
		// Late callers get what is free: more of them than one in ten are not refused in the end.
		is.True(10*r.Streams.Refused <= r.Streams.Requests)
	}
}
