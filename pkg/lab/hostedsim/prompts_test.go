package hostedsim

import "testing"

// comparePrompts runs a site with three prefill engines in each of its four DataCentres at half load, where streams
// state the parts of their prompts, without and with regard to held prompts.
func comparePrompts(t *testing.T, change func(*Experiment)) (before, after *comparison) {
	t.Helper()
	before, after = compareWithout(t, func(x *Experiment) { x.IgnoreHeldPrompts = true }, func(x *Experiment) {
		x.Routine, x.PrefillEngines, x.DecodeEngines = Load{}, 3, 6
		x.Streams.PerSecond, x.Streams.SharedTokens, x.Streams.SharedShare = 60, 200, 1
		change(x)
	})
	if after.streams.Goodput() < before.streams.Goodput()-0.005 {
		t.Error("streams lose by the estimates")
	}
	return before, after
}

// Guards against sessions whose prompts are prefilled again at engines that do not hold them, also when KV caches
// expire so soon that some decode engines read the prompt themselves.
func TestRepeatedPromptsAreHeld(t *testing.T) {
	for _, kvMS := range []float64{500, 1} {
		before, after := comparePrompts(t, func(x *Experiment) { x.Streams.RepeatShare, x.Engine.KVMS = 0.5, kvMS })
		if !less(after.time(streamPath, 0.5), before.time(streamPath, 0.5), 0.93) || 10*after.promptTokens > 9*before.promptTokens {
			t.Error("streams get no earlier first event, or engines prefill as much as before")
		}
	}
}

// Guards against requests whose retries differ because of what is believed to be held: some KV caches expire, and
// no prompt recurs in another request.
func TestRetriesDoNotGoByHeldPrompts(t *testing.T) {
	before, after := comparePrompts(t, func(x *Experiment) { x.Engine.KVMS, x.Streams.Retries = 1, 0 })
	if before.streams != after.streams || before.promptTokens != after.promptTokens || before.time(streamPath, 0.95) != after.time(streamPath, 0.95) {
		t.Error("the runs differ")
	}
}

// Guards against one prefix in half of all requests that draws them to few engines, also in a burst.
func TestOnePrefixInHalfOfAllRequests(t *testing.T) {
	for _, factor := range []float64{1, 2.2} {
		before, after := comparePrompts(t, func(x *Experiment) {
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
			for at := 2.0; at < 16; at += 3 {
				x.Faults = append(x.Faults, Fault{Kind: FaultPrefillCrash, StartSeconds: at, DurationSeconds: 0.5, Count: 3})
			}
		},
		"hold nothing": func(x *Experiment) { x.Engine.ForgetsPrompts = true },
		"full":         func(x *Experiment) { x.Engine.MemoryTokens = 20_000 },
	} {
		before, after := comparePrompts(t, func(x *Experiment) {
			x.Streams.RepeatShare = 0.5
			change(x)
		})
		if !less(after.time(streamPath, 0.95), before.time(streamPath, 0.95), 1.08) {
			t.Errorf("%s: streams wait longer for their first event", name)
		}
	}
}
