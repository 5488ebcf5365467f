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
			t.Logf("%+v", r.HeldPrompts)
		}
		t.Logf("%s: on time %.2f%% of %d, first event median %s 95%% %s, %d tokens prefilled", []string{"before", "after"}[i],
			100*c.streams.Goodput(), c.streams.Requests, c.time(streamPath, 0.5), c.time(streamPath, 0.95), tokens[i])
	}
	if results[1].streams.Goodput() < results[0].streams.Goodput()-0.005 {
		t.Error("streams lose by the estimates")
	}
	return results[0], results[1], tokens
}

// Guards against sessions whose prompts are prefilled again at engines that do not hold them.
func TestRepeatedPromptsAreHeld(t *testing.T) {
	before, after, tokens := comparePrompts(t, func(x *Experiment) { x.Streams.RepeatShare = 0.5 })
	_, _, _ = before, after, tokens
}

// Guards against one prefix in half of all requests that draws them to few engines.
func TestOnePrefixInHalfOfAllRequests(t *testing.T) {
	before, after, tokens := comparePrompts(t, func(x *Experiment) {
		x.Streams.SharedTokens, x.Streams.SharedShare = 3000, 0.5
	})
	_, _, _ = before, after, tokens
}

// Guards against a burst of requests with equal prefixes that queue at one engine.
func TestBurstWithEqualPrefixes(t *testing.T) {
	before, after, tokens := comparePrompts(t, func(x *Experiment) {
		x.Streams.SharedTokens, x.Streams.SharedShare = 3000, 0.5
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 4, DurationSeconds: 5, Factor: 2.2}}
	})
	_, _, _ = before, after, tokens
}

// Guards against requests that callers send again after KV caches have expired at once.
func TestExpiredCachesAreHeld(t *testing.T) {
	before, after, tokens := comparePrompts(t, func(x *Experiment) {
		x.Engine.KVMS, x.Streams.RepeatShare = 2, 0.5
	})
	_, _, _ = before, after, tokens
}

// Guards against engines whose memory is full with two prompts.
func TestFullMemory(t *testing.T) {
	before, after, tokens := comparePrompts(t, func(x *Experiment) {
		x.Engine.MemoryTokens = 20000
		x.Streams.RepeatShare = 0.5
	})
	_, _, _ = before, after, tokens
}
