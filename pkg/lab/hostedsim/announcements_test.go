package hostedsim

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against requests to Upstreams that have said that they leave, while the store says that
// they are ready, and against callers who suffer from that although other Upstreams have room.
func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		r := runExperiment(t, func(x *Experiment) {
			x.Seed = seed
			x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
			x.Faults = []Fault{{Kind: FaultUpstreamLeaves, StartSeconds: 4, DurationSeconds: 12, Count: 6}}
		})
		is.True(r.Calls.Goodput() >= 0.97)
		is.True(r.Streams.Goodput() >= 0.9)
	}
}

// Guards against requests to Upstreams in the time for which they want none, and against callers
// who suffer from that although other Upstreams have room.
func TestUpstreamBackoffIsObeyed(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		r := runExperiment(t, func(x *Experiment) {
			x.Seed = seed
			x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
			x.Faults = []Fault{{Kind: FaultBackoff, StartSeconds: 4, DurationSeconds: 8, Count: 6, Factor: 2.5}}
		})
		is.True(r.Calls.Goodput() >= 0.97)
		is.True(r.Streams.Goodput() >= 0.9)
	}
}

// Guards against callers that wait while all Upstreams ask for a longer backoff than the callers
// have time, and against Upstreams that stay unused afterwards.
func TestRequestsAreRefusedAtOnceDuringTheBackoffOfAllUpstreams(t *testing.T) {
	is := is.New(t)
	r := runExperiment(t, func(x *Experiment) {
		x.Calls.Retries, x.Streams.PerSecond, x.Seconds = 0, 0, 16
		x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
		x.Faults = []Fault{{Kind: FaultBackoff, StartSeconds: 4, DurationSeconds: 2, Count: 100, Factor: 3}}
	})
	is.True(len(r.RefusalDelays) > 0)
	late := 0
	for _, delay := range r.RefusalDelays {
		if delay > 60*time.Millisecond { // a refusal by an Upstream in the other region takes 60 ms
			late++
		}
	}
	is.True(late <= len(r.RefusalDelays)/10)
	is.True(r.arrivalsBetween("plain", 11, 16) >= 150) // 40 a second, from 2 s after the last return
}

// Guards against requests that an Upstream did not want, under a mix of faults.
func TestAnnouncementsOfDrawnSites(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		x := Small()
		x.Seed = rapid.Uint64().Draw(t, "seed")
		x.Seconds = 14
		x.Instances = rapid.IntRange(1, 8).Draw(t, "instances")
		x.PlainUpstreams = rapid.IntRange(1, 3).Draw(t, "plain")
		x.PrefillEngines = rapid.IntRange(0, 2).Draw(t, "prefill")
		x.Streams.PerSecond = rapid.Float64Range(0, 20).Draw(t, "streams")
		x.Streams.SafeToRetry = rapid.Bool().Draw(t, "resumable")
		x.Calls.PerSecond = rapid.Float64Range(1, 150).Draw(t, "calls")
		x.Calls.SafeToRetry = rapid.Bool().Draw(t, "idempotent")
		x.SingleEntry = rapid.Bool().Draw(t, "single")
		x.Accounts[0].Rate, x.Accounts[1].Rate = 0, 0
		kinds := []FaultKind{
			FaultUpstreamLeaves, FaultBackoff, FaultUpstreamLeaves, FaultBackoff,
			FaultBurst, FaultEngineCrash, FaultEngineSlow, FaultInstanceKill, FaultInstancePause, FaultPeerCut, FaultRegionCut, FaultPlainLimit, FaultEngineLimit,
		}
		for range rapid.IntRange(1, 7).Draw(t, "faults") {
			x.Faults = append(x.Faults, Fault{
				Kind:            rapid.SampledFrom(kinds).Draw(t, "kind"),
				StartSeconds:    rapid.Float64Range(0, 12).Draw(t, "at"),
				DurationSeconds: rapid.Float64Range(0.1, 8).Draw(t, "for"),
				Count:           rapid.IntRange(1, 40).Draw(t, "count"),
				Factor:          rapid.Float64Range(0.3, 6).Draw(t, "x"),
			})
		}
		checkRules(t, x)
	})
}
