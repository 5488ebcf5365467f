package hostedsim

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func runExperiment(t *testing.T, change func(*Experiment)) *Result {
	t.Helper()
	x := Small()
	if change != nil {
		change(&x)
	}
	r, err := Run(x)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := r.Print(&text); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	return r
}

// Guards against refusals, late responses and wasted prefill while capacity suffices.
func TestNormalLoad(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, nil)
	is.Equal(r.Streams.Refused+r.Streams.Failed+r.Calls.Refused+r.Calls.Failed, 0)
	is.True(r.Streams.Goodput() >= 0.95)
	is.True(r.Calls.Goodput() >= 0.99)
	is.Equal(r.WastedPrefillTokens, int64(0))
}

// Guards against runs that differ although experiment and seed are the same.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	faults := func(x *Experiment) {
		x.Seconds = 8
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 1, DurationSeconds: 3, Factor: 2}, {Kind: FaultEngineCrash, StartSeconds: 2, DurationSeconds: 3, Count: 2}, {Kind: FaultInstanceKill, StartSeconds: 3, DurationSeconds: 2}}
	}
	first, second := runExperiment(t, faults), runExperiment(t, faults)
	is.Equal(first.Windows, second.Windows)
	is.Equal(first.Messages, second.Messages)
}

// Guards against a burst of six times the load that leaves the engines idle, makes
// responses late instead of refusing what can't be served, or wastes prefill. The
// engines have memory for 84 streams, each of 2.6 s: over the whole run, which includes
// the time of normal load, 55 % of the requests can be served.
func TestBurst(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, func(x *Experiment) {
		x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 4, DurationSeconds: 8, Factor: 6}}
	})
	is.True(r.Streams.Goodput() >= 0.5)
	is.True(r.Calls.Goodput() >= 0.95)
	is.True(float64(r.WastedPrefillTokens) <= 0.02*float64(r.PromptTokens))
	last := r.Windows[9] // 7 s after the burst
	is.True(last.Goodput() >= 0.9)
}

// Guards against an account whose burst starves the others of engines, and against
// use above its quota.
func TestHotAccount(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, func(x *Experiment) {
		x.Accounts[0].Rate, x.Accounts[0].Burst = 80_000, 80_000
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 4, DurationSeconds: 10, Factor: 5, Account: "bakery"}}
	})
	is.True(r.PeakQuotaUse <= 1.1)
	is.True(r.Accounts["tavern"].Goodput() >= 0.9)
}

// Guards against streams that fail with their engine although another one may continue
// them, and against requests that run twice although they are not safe to retry.
func TestEngineCrashes(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, func(x *Experiment) {
		x.Faults = []Fault{{Kind: FaultEngineCrash, StartSeconds: 5, DurationSeconds: 5, Count: 3}, {Kind: FaultEngineCrash, StartSeconds: 12, DurationSeconds: 3, Count: 3}}
	})
	is.True(r.Streams.Failed <= r.Streams.Requests/50)
	is.True(r.Streams.Goodput() >= 0.75)
}

// Guards against requests that are lost when an Instance is killed, and against quotas
// that are spent twice when Instances restart or the regions are partitioned.
func TestInstanceKillsAndRegionCut(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, func(x *Experiment) {
		x.Faults = []Fault{
			{Kind: FaultInstanceKill, StartSeconds: 3, DurationSeconds: 3, Count: 4},
			{Kind: FaultRegionCut, StartSeconds: 8, DurationSeconds: 5},
			{Kind: FaultInstanceKill, StartSeconds: 15, DurationSeconds: 1, Count: 8},
			{Kind: FaultBurst, StartSeconds: 8, DurationSeconds: 10, Factor: 4, Account: "bakery"},
		}
	})
	is.True(r.PeakQuotaUse <= 1.1)
	is.True(r.Accounts["tavern"].Goodput() >= 0.75)
}

// Guards against example experiments that do not parse.
func TestExamples(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../../examples/experiments/*.jsonc")
	is.NoErr(err)
	is.Equal(len(paths), 3)
	for _, path := range paths {
		_, err := ReadExperiment(path)
		is.NoErr(err)
	}
}

// Guards against findings that are reported one at a time or not at all, and against
// default DataCentres that are merged with those of the file.
func TestReadExperiment(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "x.jsonc")
	is.NoErr(os.WriteFile(path, []byte(`{ // comment
		"data_centres": {"a": "r"}, "seconds": 5, "faults": [{"kind": "burst", "x": 2, "at_seconds": 1, "for_seconds": 1}],
	}`), 0o600))
	x, err := ReadExperiment(path)
	is.NoErr(err)
	is.Equal(len(x.DataCentres), 1)
	is.NoErr(os.WriteFile(path, []byte(`{"seconds": -1, "faults": [{"kind": "flood", "at_seconds": 1, "for_seconds": 1}], "accounts": [{"name": ""}]}`), 0o600))
	_, err = ReadExperiment(path)
	for _, want := range []string{path, "seconds: -1", `faults[0].kind: "flood"`, "accounts[0].name", "needs a share"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v lacks %q", err, want)
		}
	}
}

// checkRules runs an experiment and fails for each rule that it breaks.
func checkRules(t *rapid.T, x Experiment) {
	r, err := Run(x)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range r.Violations {
		t.Error(violation)
	}
}

// Guards against violations under a mix of faults: a request that runs twice although it
// is not safe to retry, is refused as not run although it ran, or never ends, and a quota
// that is exceeded.
func TestRulesUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		x := Small()
		x.Seed = rapid.Uint64().Draw(t, "seed")
		x.Seconds = 14
		x.Instances = rapid.IntRange(1, 3).Draw(t, "instances")
		x.Streams.PerSecond = rapid.Float64Range(0, 60).Draw(t, "streams")
		x.Calls.PerSecond = rapid.Float64Range(0, 200).Draw(t, "calls")
		x.Streams.SafeToRetry = rapid.Bool().Draw(t, "resumable")
		x.Calls.SafeToRetry = rapid.Bool().Draw(t, "idempotent")
		x.PrefillEngines = rapid.IntRange(0, 2).Draw(t, "prefill")
		x.Accounts[0].Rate = rapid.Int64Range(40_000, 400_000).Draw(t, "rate")
		x.Accounts[0].Burst = x.Accounts[0].Rate
		kinds := []FaultKind{
			FaultBurst, FaultEngineCrash, FaultEngineSlow, FaultInstanceKill, FaultInstancePause, FaultPeerCut, FaultRegionCut,
			FaultPlainLimit, FaultEngineLimit, FaultUpstreamLeaves, FaultBackoff,
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			x.Faults = append(x.Faults, Fault{
				Kind:            rapid.SampledFrom(kinds).Draw(t, "kind"),
				StartSeconds:    rapid.Float64Range(0, 12).Draw(t, "at"),
				DurationSeconds: rapid.Float64Range(0.1, 8).Draw(t, "for"),
				Count:           rapid.IntRange(1, 12).Draw(t, "count"),
				Factor:          rapid.Float64Range(0.5, 6).Draw(t, "x"),
				// A burst of a single account is the harder case for quotas.
				Account: rapid.SampledFrom([]core.AccountID{"", "bakery"}).Draw(t, "account"),
			})
		}
		x.QuotaTolerancePart = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "tolerance")
		checkRules(t, x)
	})
}

// Guards against a quota that is exceeded while Instances hear nothing of each other for
// longer than it takes to notice: each of them then has only its share.
func TestQuotaHoldsWhileInstancesLoseTheirPeers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		runExperiment(t, func(x *Experiment) {
			x.Seed, x.Seconds = seed, 10
			x.Streams.PerSecond, x.PrefillEngines = 60, 0
			x.Accounts[0].Rate, x.Accounts[0].Burst = 40_000, 40_000
			x.Faults = []Fault{
				{Kind: FaultPeerCut, DurationSeconds: 1.5, Count: 8}, {Kind: FaultBurst, DurationSeconds: 8, Factor: 6},
			}
		})
	}
}

// Guards against a quota that is exceeded because Instances that had no contact with each other, and
// together used more than the allowance, forget that when all of them are killed.
func TestQuotaHoldsWhenIsolatedInstancesAreKilled(t *testing.T) {
	runExperiment(t, func(x *Experiment) {
		x.Seed, x.Seconds = 0, 14
		x.Streams.PerSecond, x.Calls.PerSecond = 60, 143.9
		x.Accounts[0].Rate, x.Accounts[0].Burst = 40_000, 40_000
		x.Faults = []Fault{
			{Kind: FaultPeerCut, StartSeconds: 0, DurationSeconds: 1.3, Count: 8},
			{Kind: FaultInstanceKill, StartSeconds: 1.756, DurationSeconds: 0.69, Count: 8},
			{Kind: FaultBurst, StartSeconds: 0, DurationSeconds: 0.125, Factor: 2.8, Account: "bakery"},
		}
	})
}
