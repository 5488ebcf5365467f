package hostedsim

import (
	"testing"
	"time"
)

// promptsSite returns a site with three prefill engines in each of its four DataCentres at half load, where
// streams state the parts of their prompts.
func promptsSite(seed uint64) Experiment {
	x := unevenSite(seed)
	x.Routine = Load{}
	x.PrefillEngines, x.DecodeEngines = 3, 6
	x.Streams.PerSecond = 60
	x.Streams.SharedTokens, x.Streams.SharedShare = 200, 1
	return x
}

// comparePrompts runs a site with several seeds, without and with regard to held prompts. tokens are the
// prompt tokens that all engines have prefilled.
func comparePrompts(t *testing.T, change func(*Experiment)) (before, after *comparison, tokens [2]int64) {
	t.Helper()
	var results [2]*comparison
	for i := range results {
		c := &comparison{times: map[string][]time.Duration{}}
		results[i] = c
		for seed := range uint64(4) {
			x := promptsSite(seed)
			change(&x)
			x.IgnoreHeldPrompts = i == 0
			r, err := Run(x)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range r.Violations {
				t.Error(violation)
			}
			c.streams.add(r.Streams)
			c.times[streamPath] = append(c.times[streamPath], r.Times[streamPath]...)
			tokens[i] += r.PromptTokens
			c.held.Found += r.HeldPrompts.Found
			c.held.Refuted += r.HeldPrompts.Refuted
		}
		t.Logf("%s: on time %.2f%% of %d, first event median %s 95%% %s, %d tokens prefilled, held %+v", []string{"before", "after"}[i],
			100*c.streams.Goodput(), c.streams.Requests, c.time(streamPath, 0.5), c.time(streamPath, 0.95), tokens[i], c.held)
	}
	if results[1].streams.Goodput() < results[0].streams.Goodput()-0.005 {
		t.Error("streams lose by the estimates")
	}
	return results[0], results[1], tokens
}

// Guards against sessions whose prompts are prefilled again at engines that do not hold them, also when KV caches
// expire so soon that some decode engines read the prompt themselves.
func TestRepeatedPromptsAreHeld(t *testing.T) {
	for _, kvMS := range []float64{500, 1} {
		before, after, tokens := comparePrompts(t, func(x *Experiment) { x.Streams.RepeatShare, x.Engine.KVMS = 0.5, kvMS })
		if !less(after.time(streamPath, 0.5), before.time(streamPath, 0.5), 0.93) || float64(tokens[1]) > 0.9*float64(tokens[0]) {
			t.Error("streams get no earlier first event, or engines prefill as much as before")
		}
	}
}

// Guards against requests whose retries differ because of what is believed to be held: some KV caches expire, and
// no prompt recurs in another request.
func TestRetriesDoNotGoByHeldPrompts(t *testing.T) {
	before, after, tokens := comparePrompts(t, func(x *Experiment) { x.Engine.KVMS, x.Streams.Retries = 1, 0 })
	if before.streams != after.streams || tokens[0] != tokens[1] || before.time(streamPath, 0.95) != after.time(streamPath, 0.95) {
		t.Error("the runs differ")
	}
}

// Guards against one prefix in half of all requests that draws them to few engines, also in a burst.
func TestOnePrefixInHalfOfAllRequests(t *testing.T) {
	for _, factor := range []float64{1, 2.2} {
		before, after, _ := comparePrompts(t, func(x *Experiment) {
			x.Streams.SharedTokens, x.Streams.SharedShare = 3000, 0.5
			x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 4, DurationSeconds: 5, Factor: factor}}
		})
		if !less(after.time(streamPath, 0.95), before.time(streamPath, 0.95), 1.03) {
			t.Error("streams wait longer for their first event")
		}
	}
}

// Guards against estimates that cost time when they are wrong: engines restart or hold nothing at all, or
// their memory is full with four prompts.
func TestWrongEstimatesCostLittle(t *testing.T) {
	for name, change := range map[string]func(*Experiment){
		"restart": func(x *Experiment) {
			for at := range 5 {
				x.Faults = append(x.Faults, Fault{Kind: FaultPrefillCrash, StartSeconds: float64(2 + 3*at), DurationSeconds: 0.5, Count: 3})
			}
		},
		"hold nothing": func(x *Experiment) { x.Engine.ForgetsPrompts = true },
		"full":         func(x *Experiment) { x.Engine.MemoryTokens = 20_000 },
	} {
		t.Run(name, func(t *testing.T) {
			before, after, _ := comparePrompts(t, func(x *Experiment) {
				x.Streams.RepeatShare = 0.5
				change(x)
			})
			if !less(after.time(streamPath, 0.95), before.time(streamPath, 0.95), 1.08) {
				t.Error("streams wait longer for their first event")
			}
		})
	}
}
