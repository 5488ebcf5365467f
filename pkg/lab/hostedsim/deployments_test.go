package hostedsim

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// drawDeployment draws a deployment of 2 to 4 regions, 2 to 40 data centres and up to most
// Instances in all, with its load and faults.
func drawDeployment(rng *rand.Rand, most int) Experiment {
	x := Small()
	x.Seed, x.Seconds = rng.Uint64(), 6
	regions, dataCentres := 2+rng.IntN(3), 2+rng.IntN(39)
	x.DataCentres = map[core.DataCentreName]core.RegionName{}
	for i := range max(regions, dataCentres) {
		x.DataCentres[core.DataCentreName(fmt.Sprintf("dc%02d", i))] = core.RegionName(fmt.Sprintf("r%d", i%regions))
	}
	x.Instances = 1 + rng.IntN(max(1, most/len(x.DataCentres)))
	x.DecodeEngines, x.PrefillEngines, x.PlainUpstreams = 1+rng.IntN(2), rng.IntN(2), 1+rng.IntN(2)
	x.Streams.PerSecond, x.Calls.PerSecond = 40*rng.Float64(), 100*rng.Float64()
	x.Streams.SafeToRetry, x.Calls.SafeToRetry = rng.IntN(2) == 0, rng.IntN(2) == 0
	x.Accounts[0].Rate = 40_000 + rng.Int64N(360_000)
	x.Accounts[0].Burst = x.Accounts[0].Rate
	kinds := []FaultKind{FaultBurst, FaultEngineCrash, FaultEngineSlow, FaultInstanceKill, FaultInstancePause, FaultRegionCut}
	for range rng.IntN(4) {
		x.Faults = append(x.Faults, Fault{
			Kind: kinds[rng.IntN(len(kinds))], StartSeconds: 4 * rng.Float64(), DurationSeconds: 0.1 + 3*rng.Float64(),
			Count: 1 + rng.IntN(12), Factor: 0.5 + 4*rng.Float64(),
		})
	}
	return x
}

// Guards against rules that hold only at the size and in the places of a deployment that we know.
// DEPLOYMENT_INSTANCES draws larger ones, which take minutes.
func TestRulesInDrawnDeployments(t *testing.T) {
	const deployments, defaultInstances = 6, 60
	most := defaultInstances
	if text := os.Getenv("DEPLOYMENT_INSTANCES"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxInstances {
			t.Fatalf("DEPLOYMENT_INSTANCES: %q is not a number from 1 to %d", text, maxInstances)
		}
		most = n
	}
	for i := range uint64(deployments) {
		x := drawDeployment(rand.New(rand.NewPCG(i, 7)), most)
		t.Run(fmt.Sprintf("%d: %d data centres, %d Instances each, %d faults", i, len(x.DataCentres), x.Instances, len(x.Faults)), func(t *testing.T) {
			t.Parallel()
			r, err := Run(x)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range r.Violations {
				t.Error(violation)
			}
			if served := r.Calls.OnTime + r.Calls.Late; r.Calls.Requests > 20 && 2*served < r.Calls.Requests {
				t.Errorf("%d of %d calls are served", served, r.Calls.Requests)
			}
		})
	}
}
