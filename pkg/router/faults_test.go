package router_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// fault is one injected failure of a generated simulation.
type fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Target   int
}

var faultKinds = []string{
	"kill", "restart", "pause", "cut-store", "cut-peer", "cut-peer-one-way", "cut-upstream", "cut-upstream-back",
	"cut-region", "store-down", "store-slow", "store-faults", "loss", "crash", "stall",
}

const (
	faultsBegin = 8 * time.Second
	faultsEnd   = 40 * time.Second
	// recovery is the time from the end of the last fault to the checks of the
	// final state. It covers the fencing wait of a roster.
	recovery = 60 * time.Second
)

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		At:       faultsBegin + time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at ms"))*time.Millisecond,
		Duration: time.Duration(rapid.IntRange(100, 12_000).Draw(t, "for ms")) * time.Millisecond,
		Target:   rapid.IntRange(0, 1000).Draw(t, "target"),
	}
}

func (f fault) apply(w *virtual.Simulation) {
	instances := w.Instances()
	i := instances[f.Target%len(instances)]
	id := string(i.View().Instance.ID)
	other := string(instances[(f.Target+1)%len(instances)].View().Instance.ID)
	up := w.Upstreams()[f.Target%len(w.Upstreams())]
	begin := func(start, end func()) {
		w.At(f.At, start)
		w.At(min(f.At+f.Duration, faultsEnd), end)
	}
	switch f.Kind {
	case "kill":
		begin(func() { i.Kill() }, func() { i.Restart() })
	case "restart":
		w.At(f.At, func() { i.Restart() })
	case "pause":
		w.At(f.At, func() { i.Pause(f.Duration) })
	case "cut-store":
		begin(func() { w.Partition(id, virtual.StoreName) }, w.Heal)
	case "cut-peer":
		begin(func() { w.Partition(id, other) }, w.Heal)
	case "cut-peer-one-way":
		begin(func() { w.PartitionOneWay(id, other) }, w.Heal)
	case "cut-upstream":
		begin(func() { w.PartitionOneWay(id, string(up)) }, w.Heal)
	case "cut-upstream-back":
		begin(func() { w.PartitionOneWay(string(up), id) }, w.Heal)
	case "cut-region":
		begin(func() { w.PartitionRegion("south") }, w.Heal)
	case "store-down":
		begin(func() { w.SetStoreDown(true) }, func() { w.SetStoreDown(false) })
	case "store-slow":
		begin(func() { w.SetStoreLatency(time.Second) }, func() { w.SetStoreLatency(0) })
	case "store-faults":
		begin(func() { w.SetStoreFaults(0.3, 0.3) }, func() { w.SetStoreFaults(0, 0) })
	case "loss":
		begin(func() { w.SetLoss(0.3) }, func() { w.SetLoss(0) })
	case "crash":
		w.At(f.At, func() { w.Crash(up) })
	case "stall":
		begin(func() { w.SetStalled(up, true) }, func() { w.SetStalled(up, false) })
	}
}

// sendWorkload sends completions, plain requests with idempotency keys that are
// retried at another Instance, and requests whose callers disconnect, while the
// faults occur.
func sendWorkload(t *rapid.T, w *virtual.Simulation) {
	instances := w.Instances()
	entry := func(n int) core.InstanceID { return instances[n%len(instances)].View().Instance.ID }
	count := rapid.IntRange(20, 60).Draw(t, "requests")
	for n := range count {
		at := faultsBegin + time.Duration(rapid.IntRange(0, 28_000).Draw(t, "send ms"))*time.Millisecond
		to := rapid.IntRange(0, 100).Draw(t, "entry")
		switch rapid.IntRange(0, 3).Draw(t, "request") {
		case 0:
			w.At(at, func() { w.Send(entry(to), completion("large", 1500, 80)) })
		case 1:
			connectedFor := time.Duration(rapid.IntRange(0, 2500).Draw(t, "stay ms")) * time.Millisecond
			w.At(at, func() {
				r := w.Send(entry(to), completion("large", 3000, 200))
				w.At(w.Now()+connectedFor, func() { w.Disconnect(r) })
			})
		default:
			call := virtual.RequestOptions{
				Account: "large", Method: "POST", Path: "/call",
				IdempotencyKey: fmt.Sprint("key", n/3), Body: "order", Timeout: 10 * time.Second,
			}
			retryAt := at + time.Duration(rapid.IntRange(0, 3000).Draw(t, "again ms"))*time.Millisecond
			w.At(at, func() { w.Send(entry(to), call) })
			w.At(retryAt, func() { w.Send(entry(to+1), call) })
		}
	}
}

// watchVersions fails the test when the active version decreases within one
// incarnation of an Instance.
func watchVersions(t *rapid.T, w *virtual.Simulation) {
	highest := map[core.InstanceRef]core.Version{}
	var check func()
	check = func() {
		for _, i := range w.Instances() {
			if !i.Alive() {
				continue
			}
			view := i.View()
			if view.Version < highest[view.Instance] {
				t.Fatalf("%s changed from version %d back to %d", view.Instance, highest[view.Instance], view.Version)
			}
			highest[view.Instance] = view.Version
		}
		w.At(w.Now()+250*time.Millisecond, check)
	}
	check()
}

// Guards against violations that only the composition of the modules can cause:
// two responses to one request (G2), a request that ran and was refused as not
// run (G8), a non-idempotent request that runs twice (G9), memory held for a
// disconnected caller (G1), a response with a gap or a repetition (G7), a
// configuration version that decreases (G12), and a fleet that does not serve
// after the failures.
func TestPromisesUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		opts := smallFleet(uint64(rapid.IntRange(1, 1<<30).Draw(t, "seed")))
		for n := range opts.Instances {
			opts.Instances[n].ClockRate = 1 + float64(rapid.IntRange(-100, 100).Draw(t, "clock rate"))/10_000
		}
		if testing.Verbose() {
			opts.Trace = func(at time.Duration, i core.InstanceRef, what string) { t.Logf("%s %s %s", at, i, what) }
		}
		w := virtual.New(opts)
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 2, 6).Draw(t, "faults")
		t.Logf("faults %+v", faults)
		for _, f := range faults {
			f.apply(w)
		}
		watchVersions(t, w)
		sendWorkload(t, w)
		w.At(faultsBegin+10*time.Second, func() { w.Promote(opts.Document) })
		w.RunUntil(faultsEnd)
		w.Heal()
		w.RunUntil(faultsEnd + recovery)
		checkResponses(t, w)
		checkMemory(t, w)
		checkRecovered(t, w)
	})
}

func checkResponses(t *rapid.T, w *virtual.Simulation) {
	for _, r := range w.Sequence {
		switch {
		case r.Answers > 1:
			t.Errorf("%s got %d responses", r.ID, r.Answers)
		case r.Broken != "":
			t.Errorf("%s: %s", r.ID, r.Broken)
		case !r.Done:
			t.Errorf("%s at %s has no response: %+v, instance %+v", r.ID, r.Entry, r, w.Instance(r.Entry).EventCounts)
		case r.Refusal != nil && r.Refusal.Ran == core.NotRun && r.Sent > 0:
			t.Errorf("%s was refused as not run (%s) but reached an upstream %d times", r.ID, r.Refusal.Code, r.Sent)
		case r.Options.IdempotencyKey != "" && r.Executed > 1:
			t.Errorf("%s: the request with key %s ran %d times", r.ID, r.Options.IdempotencyKey, r.Executed)
		case r.Completed && r.Options.Path == "" && r.Tokens != r.Options.OutputTokens:
			t.Errorf("%s is complete with %d tokens of %d", r.ID, r.Tokens, r.Options.OutputTokens)
		}
	}
}

func checkMemory(t *rapid.T, w *virtual.Simulation) {
	for _, up := range w.Upstreams() {
		if held := w.ActiveAttempts(up); len(held) > 0 {
			t.Errorf("%s still holds memory for %v", up, held)
		}
	}
}

// checkRecovered checks that every Instance serves a request after the failures.
func checkRecovered(t *rapid.T, w *virtual.Simulation) {
	var probes []*virtual.Request
	for _, i := range w.Instances() {
		probes = append(probes, w.Send(i.View().Instance.ID, completion("large", 500, 10)))
	}
	w.RunUntil(w.Now() + 10*time.Second)
	for _, probe := range probes {
		if !probe.Completed {
			t.Errorf("after the faults, %s refuses: %v (lost %t), %+v", probe.Entry, probe.Refusal, probe.Lost, w.Instance(probe.Entry).View())
		}
	}
}
