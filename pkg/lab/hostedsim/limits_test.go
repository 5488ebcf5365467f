package hostedsim

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// limitedSeconds is the time for which the Upstreams of these tests announce a limit, from
// the third second on.
const limitedSeconds = 14

func limit(kind FaultKind, count int, perSecond float64) Fault {
	return Fault{Kind: kind, StartSeconds: 3, DurationSeconds: limitedSeconds, Count: count, Factor: perSecond}
}

// arrivalsBetween counts the requests at all Upstreams whose name has a prefix, from one second of
// the load to another.
func (r *Result) arrivalsBetween(prefix string, from, to float64) int {
	total := 0
	for id, list := range r.Arrivals {
		if len(id) < len(prefix) || string(id[:len(prefix)]) != prefix {
			continue
		}
		first, _ := slices.BinarySearch(list, r.start.Add(seconds(from)))
		after, _ := slices.BinarySearch(list, r.start.Add(seconds(to)))
		total += after - first
	}
	return total
}

// Guards against Upstreams that get more requests than they have announced to take while
// others have room: those serve the rest.
func TestAnnouncedLimitHolds(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ perDataCentre, calls int }{{2, 60}, {21, 250}} {
		t.Run(fmt.Sprint(4*size.perDataCentre), func(t *testing.T) {
			is := is.New(t)
			r := runExperiment(t, func(x *Experiment) {
				x.Instances, x.Calls.PerSecond = size.perDataCentre, float64(size.calls)
				x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
				x.Faults = []Fault{limit(FaultPlainLimit, 3, 3)}
			})
			is.True(r.PeakLimitUse > 0)
			is.True(r.Calls.Goodput() >= 0.97)
		})
	}
}

// Guards against a limit that holds for plain requests and not for holds, prefills and
// their releases.
func TestAnnouncedLimitOfEnginesHolds(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, func(x *Experiment) {
		x.Streams.PerSecond = 24
		x.Faults = []Fault{limit(FaultEngineLimit, 6, 2), {Kind: FaultEngineCrash, StartSeconds: 8, DurationSeconds: 2, Count: 2}}
	})
	is.True(r.PeakLimitUse > 0)
	is.True(r.Streams.Goodput() >= 0.7)
}

// Guards against a limit that is not used, and against callers that wait for an Upstream
// that can't take them, when all Upstreams together take a third of the load.
func TestAnnouncedLimitIsUsed(t *testing.T) {
	for _, single := range []bool{false, true} {
		is := is.New(t)
		r := runExperiment(t, func(x *Experiment) {
			x.SingleEntry = single
			x.Calls.PerSecond, x.Calls.Retries = 120, 0
			x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
			x.Faults = []Fault{limit(FaultPlainLimit, 8, 5)}
		})
		got, limit := float64(r.arrivalsBetween("plain", 7, 16)), 9.0*8*5
		t.Logf("single=%t: %.0f requests of %.0f", single, got, limit)
		is.True(got >= 0.8*limit)
		is.True(got <= 1.1*limit)
		slices.Sort(r.RefusalDelays)
		is.True(len(r.RefusalDelays) > 0)
		is.True(r.RefusalDelays[len(r.RefusalDelays)/2] <= 20*time.Millisecond)
	}
}

// Guards against an Upstream that remains idle after it has ceased to announce a limit,
// also when it took nothing before.
func TestRateReturnsAfterAnAnnouncedLimit(t *testing.T) {
	for _, perSecond := range []float64{0.05, 5} {
		is := is.New(t)
		r := runExperiment(t, func(x *Experiment) {
			x.Calls.PerSecond, x.Calls.Retries, x.Seconds = 120, 0, 24
			x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
			x.Faults = []Fault{limit(FaultPlainLimit, 8, perSecond)}
		})
		got := r.arrivalsBetween("plain", 21, 24) // from 4 s after the limit
		t.Logf("limit %.2f: %d requests in 3 s", perSecond, got)
		is.True(got >= 300)
	}
}

// Guards against limits that are exceeded while Instances are killed, paused, cut off from
// their peers or from the other region.
func TestAnnouncedLimitHoldsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		for _, kind := range []FaultKind{FaultInstanceKill, FaultInstancePause, FaultPeerCut, FaultRegionCut, FaultBurst} {
			runExperiment(t, func(x *Experiment) {
				x.Seed = seed
				x.Calls.PerSecond = 100
				x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
				x.Faults = []Fault{
					limit(FaultPlainLimit, 8, 5),
					{Kind: kind, StartSeconds: 7, DurationSeconds: 3, Count: 4, Factor: 3},
					{Kind: kind, StartSeconds: 11, DurationSeconds: 2, Count: 8, Factor: 3},
				}
			})
		}
	}
}

// Guards against a limit that is exceeded when demand begins at all Instances of a large
// fleet within the time in which they hear of each other.
func TestAnnouncedLimitHoldsWhenDemandBeginsEverywhere(t *testing.T) {
	t.Parallel()
	const perSecond = 3
	for seed := range uint64(3) {
		r := runExperiment(t, func(x *Experiment) {
			x.Seed, x.Seconds = seed, 10
			x.Instances, x.PlainUpstreams, x.Streams.PerSecond = 21, 1, 0
			x.Calls.PerSecond = 8
			x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
			x.Faults = []Fault{
				{Kind: FaultPlainLimit, DurationSeconds: 60, Count: 4, Factor: perSecond},
				{Kind: FaultBurst, StartSeconds: 7, DurationSeconds: 2, Factor: 100},
			}
		})
		for id, list := range r.Arrivals { // also of Instances that were not told by the Upstream
			list = list[sort.Search(len(list), func(i int) bool { return list[i] >= r.start.Add(limitContact) }):]
			for i, first := range list {
				after, _ := slices.BinarySearch(list, first.Add(limitWindow))
				if allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack; float64(after-i) > allowed {
					t.Errorf("%s got %d requests in %s, allowed are %.0f", id, after-i, limitWindow, allowed)
					break
				}
			}
		}
	}
}

// Guards against limits that are exceeded in a fleet of some size, at some load and limit,
// under a mix of faults.
func TestAnnouncedLimitsOfDrawnSites(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		x := Small()
		x.Seed = rapid.Uint64().Draw(t, "seed")
		x.Seconds = 14
		x.Instances = rapid.IntRange(1, 8).Draw(t, "instances")
		x.PlainUpstreams = rapid.IntRange(1, 3).Draw(t, "plain")
		x.Streams.PerSecond = rapid.Float64Range(0, 12).Draw(t, "streams")
		x.Calls.PerSecond = rapid.Float64Range(1, 150).Draw(t, "calls")
		x.Calls.SafeToRetry = rapid.Bool().Draw(t, "idempotent")
		x.SingleEntry = rapid.Bool().Draw(t, "single")
		x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
		for _, kind := range []FaultKind{FaultPlainLimit, FaultEngineLimit} {
			x.Faults = append(x.Faults, Fault{
				Kind: kind, StartSeconds: rapid.Float64Range(0, 4).Draw(t, "limited at"), DurationSeconds: 12,
				Count: rapid.IntRange(1, 16).Draw(t, "limited"), Factor: rapid.Float64Range(0.05, 40).Draw(t, "per second"),
			})
		}
		kinds := []FaultKind{FaultBurst, FaultEngineCrash, FaultInstanceKill, FaultInstancePause, FaultPeerCut, FaultRegionCut}
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			x.Faults = append(x.Faults, Fault{
				Kind:            rapid.SampledFrom(kinds).Draw(t, "kind"),
				StartSeconds:    rapid.Float64Range(0, 12).Draw(t, "at"),
				DurationSeconds: rapid.Float64Range(0.1, 8).Draw(t, "for"),
				Count:           rapid.IntRange(1, 40).Draw(t, "count"),
				Factor:          rapid.Float64Range(0.5, 9).Draw(t, "x"),
			})
		}
		checkRules(t, x)
	})
}
