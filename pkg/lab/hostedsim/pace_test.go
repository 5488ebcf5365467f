package hostedsim

import (
	"slices"
	"testing"
	"time"
)

// unevenSite returns a site with urgent and routine streams, short answers and plain calls, whose
// Upstreams state their load, at a size that runs in a second.
func unevenSite(seed uint64) Experiment {
	x := Small()
	x.Seed, x.Seconds = seed, 16
	x.Engine.EventTokens, x.Engine.Slots = 10, 32
	x.Streams = Load{PerSecond: 20, PromptTokens: 5000, OutputTokens: 70, TargetMS: 800, TimeoutMS: 8000, SafeToRetry: true, Retries: 1}
	x.Routine = x.Streams
	x.Routine.PerSecond, x.Routine.TargetMS, x.Routine.Priority = 5, 2000, 2
	x.Calls = Load{PerSecond: 200, TargetMS: 300, TimeoutMS: 2000, Retries: 1}
	x.Plain = PlainSettings{Slots: 6, WorkMS: 80}
	for i := range x.Accounts {
		x.Accounts[i].Rate = 0
	}
	x.StatesLoad = true
	return x
}

// unevenEngines makes one engine in three slow, at a load that the others can't carry alone.
func unevenEngines(x *Experiment) {
	x.EngineDurations = []float64{1.7, 0.7, 0.7}
	x.PrefillEngines, x.DecodeEngines = 3, 6
	x.Streams.PerSecond, x.Routine.PerSecond = 75, 12
}

// comparison holds what the callers of several runs got.
type comparison struct {
	streams, routine, calls, hot, others Counts
	times                                map[string][]time.Duration
	promptTokens                         int64
}

func (c *comparison) time(path string, share float64) time.Duration {
	times := slices.Sorted(slices.Values(c.times[path]))
	if len(times) == 0 {
		return 0
	}
	return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
}

func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.OnTime += other.OnTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Failed += other.Failed
}

// compare runs a site with several seeds, without and with pace and urgency.
func compare(t *testing.T, change func(*Experiment)) (before, after *comparison) {
	t.Helper()
	return compareWithout(t, func(x *Experiment) { x.IgnorePace, x.IgnoreUrgency = true, true }, change)
}

// compareWithout runs a site with several seeds, without a part that off switches off, and with it.
func compareWithout(t *testing.T, off, change func(*Experiment)) (before, after *comparison) {
	t.Helper()
	var results [2]*comparison
	for i := range results {
		c := &comparison{times: map[string][]time.Duration{}}
		results[i] = c
		for seed := range uint64(4) {
			x := unevenSite(seed)
			change(&x)
			if i == 0 {
				off(&x)
			}
			r, err := Run(x)
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range r.Violations {
				t.Error(violation)
			}
			c.streams.add(r.Streams)
			c.routine.add(r.Routine)
			c.calls.add(r.Calls)
			c.hot.add(*r.Accounts["tavern"])
			c.others.add(*r.Accounts["bakery"])
			for path, times := range r.Times {
				c.times[path] = append(c.times[path], times...)
			}
			c.promptTokens += r.PromptTokens
		}
		t.Logf("%s: on time: urgent %.2f%% routine %.2f%% calls %.2f%% tavern %.2f%% bakery %.2f%%; median and 95%%: urgent %s %s routine %s %s calls %s %s; %d prompt tokens",
			[]string{"before", "after"}[i], 100*c.streams.Goodput(), 100*c.routine.Goodput(), 100*c.calls.Goodput(), 100*c.hot.Goodput(), 100*c.others.Goodput(),
			c.time(streamPath, 0.5), c.time(streamPath, 0.95), c.time(routinePath, 0.5), c.time(routinePath, 0.95), c.time(callPath, 0.5), c.time(callPath, 0.95), c.promptTokens)
	}
	return results[0], results[1]
}

// less reports whether a is below the part of b.
func less(a, b time.Duration, part float64) bool { return a.Seconds() < part*b.Seconds() }

// Guards against urgent streams that queue behind routine ones at engines in a burst of 2.2 times the
// load, and against routine streams that are late because of that.
func TestBurstByUrgency(t *testing.T) {
	before, after := compare(t, func(x *Experiment) {
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 4, DurationSeconds: 5, Factor: 2.2}}
	})
	if !less(after.time(streamPath, 0.5), before.time(streamPath, 0.5), 0.9) {
		t.Error("urgent streams get no earlier first event")
	}
	if after.streams.Goodput() < before.streams.Goodput()-0.02 || after.routine.Goodput() < 0.97 {
		t.Error("streams lose by urgency")
	}
}

// Guards against urgent streams that wait for those of one account at 7.5 times its load.
func TestOneBusyAccountByUrgency(t *testing.T) {
	before, after := compare(t, func(x *Experiment) {
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 4, DurationSeconds: 5, Factor: 7.5, Account: "tavern"}}
	})
	if !less(after.time(streamPath, 0.5), before.time(streamPath, 0.5), 0.85) {
		t.Error("urgent streams get no earlier first event")
	}
	if after.others.Goodput() < before.others.Goodput()-0.01 || after.routine.Goodput() < 0.95 {
		t.Error("other accounts or routine streams lose by urgency")
	}
}

// Guards against engines that get work by their number although one in three takes 1.7 times as long
// and the others 0.7 times.
func TestOneEngineInThreeIsSlow(t *testing.T) {
	before, after := compare(t, unevenEngines)
	if !less(after.time(streamPath, 0.95), before.time(streamPath, 0.95), 0.85) {
		t.Error("streams wait for slow engines")
	}
}

// Guards against engines that are taken as equal because they state nothing: the durations show it.
func TestSlowEnginesThatStateNothing(t *testing.T) {
	before, after := compare(t, func(x *Experiment) {
		unevenEngines(x)
		x.StatesLoad = false
	})
	if !less(after.time(streamPath, 0.95), before.time(streamPath, 0.95), 0.92) {
		t.Error("streams wait for slow engines")
	}
}

// Guards against calls that wait at a plain replica which takes 2.5 times as long for 15 % of the time,
// while others have room.
func TestNoisyPlainService(t *testing.T) {
	before, after := compare(t, func(x *Experiment) {
		x.Plain.SlowFactor, x.Plain.SlowShare, x.Plain.SlowMS = 2.5, 0.15, 600
		x.Calls.PerSecond = 350
	})
	if late := before.calls.Requests - before.calls.OnTime; 3*(after.calls.Requests-after.calls.OnTime) > 2*late {
		t.Errorf("before, %d calls were late", late)
	}
}

// Guards against calls that go on to replicas which take five times as long for seconds, as their
// durations show.
func TestPlainReplicasThatTurnSlow(t *testing.T) {
	before, after := compare(t, func(x *Experiment) {
		x.StatesLoad = false
		x.Plain.SlowFactor, x.Plain.SlowShare, x.Plain.SlowMS = 5, 0.3, 4000
	})
	if late := before.calls.Requests - before.calls.OnTime; 3*(after.calls.Requests-after.calls.OnTime) > 2*late {
		t.Errorf("before, %d calls were late", late)
	}
}

// Guards against equal Upstreams that are chosen by the noise of the measurement.
func TestEqualUpstreamsLoseNothingByPace(t *testing.T) {
	before, after := compare(t, func(x *Experiment) {
		x.StatesLoad = false
		x.Streams.PerSecond, x.Calls.PerSecond = 25, 400
	})
	if after.streams.Goodput() < before.streams.Goodput()-0.005 || after.calls.Goodput() < before.calls.Goodput()-0.005 {
		t.Error("equal Upstreams lose by the estimates")
	}
}
