package hostedsim

import (
	"testing"

	"github.com/matryer/is"
)

// hotAccount has an account that asks for far more than its rate from 12 s on.
func hotAccount(part float64, seed uint64, faults ...Fault) func(*Experiment) {
	return func(x *Experiment) {
		x.Seed, x.Seconds, x.QuotaTolerancePart = seed, 40, part
		x.Accounts[0].Rate, x.Accounts[0].Burst = 80_000, 80_000
		x.Faults = append(faults, Fault{Kind: FaultBurst, StartSeconds: 12, DurationSeconds: 28, Factor: 3, Account: "bakery"})
	}
}

// Guards against requests that are refused while engines are idle and the platform tolerates them, and
// against a tolerance that is used at the cost of other accounts.
func TestToleranceIsUsedWhileEnginesAreIdle(t *testing.T) {
	is := is.New(t)
	without, with := runExperiment(t, hotAccount(0, 1)), runExperiment(t, hotAccount(0.5, 1))
	t.Logf("streams on time %d, %d; tavern %.3f, %.3f; quota use %.2f, %.2f", without.Streams.OnTime, with.Streams.OnTime,
		without.Accounts["tavern"].Goodput(), with.Accounts["tavern"].Goodput(), without.PeakQuotaUse, with.PeakQuotaUse)
	is.True(float64(with.Streams.OnTime) >= 1.05*float64(without.Streams.OnTime)) // the calls are small enough to be admitted anyway
	is.True(with.Accounts["tavern"].Goodput() >= without.Accounts["tavern"].Goodput()-0.01)
	is.True(without.PeakQuotaUse <= 1.1)
}

// Guards against a limit that is exceeded because Instances that lose each other, pause or restart each
// use the tolerance. runExperiment fails on any violation of the limit.
func TestToleranceKeepsTheLimitUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		runExperiment(t, hotAccount(0.5, seed,
			Fault{Kind: FaultRegionCut, StartSeconds: 14, DurationSeconds: 4},
			Fault{Kind: FaultPeerCut, StartSeconds: 20, DurationSeconds: 2, Count: 4},
			Fault{Kind: FaultInstancePause, StartSeconds: 16, DurationSeconds: 2, Count: 2},
			Fault{Kind: FaultInstanceKill, StartSeconds: 18, DurationSeconds: 2, Count: 2}))
	}
}
