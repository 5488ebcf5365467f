package virtual_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// maxLoads is the router's default bound of simultaneous loads.
const maxLoads = 4

// fleet is a simulation of five Instances and nine engines, every second of which
// checks fencing tokens.
type fleet struct {
	*virtual.Simulation
	opts       virtual.Options
	storeCalls map[string]int // store calls by kind of object
}

func newFleet(seed uint64, withDesiredState bool) *fleet {
	f := &fleet{storeCalls: map[string]int{}}
	f.opts = virtual.Deployment(seed, virtual.Sizes{
		DataCentres: virtual.TwoRegions(80_000), Instances: 5, PrefillPerDataCentre: 1, DecodePerDataCentre: 2,
		Accounts: []config.ClientAccount{virtual.Account("large", 1, 50_000, 250_000)},
	})
	f.opts.Trace = func(_ time.Duration, _ core.InstanceRef, text string) {
		if fields := strings.Fields(text); fields[0] == "store" {
			kind, _, _ := strings.Cut(fields[2], "/")
			f.storeCalls[kind]++
		}
	}
	if withDesiredState {
		f.setDesiredVersion("1")
	}
	f.opts.Engine.RoleChangeTime = 15 * time.Second
	f.Simulation = virtual.New(f.opts)
	f.RunUntil(15 * time.Second)
	return f
}

// engines returns the entries of the model service.
func (f *fleet) engines() []config.Upstream { return f.opts.Document.Services[0].Upstreams }

// setDesiredVersion sets the version that every engine has to serve.
func (f *fleet) setDesiredVersion(version string) {
	for i := range f.engines() {
		f.engines()[i].ChecksFencing = i%2 == 0
		f.engines()[i].DesiredState = &config.DesiredState{Model: virtual.Model, Version: version}
	}
}

func (f *fleet) promote(version int) {
	f.setDesiredVersion(strconv.Itoa(version))
	f.Promote(f.opts.Document)
}

func (f *fleet) servingCount(version int) int {
	n := 0
	for _, up := range f.engines() {
		if f.ServedState(up.ID).Version == strconv.Itoa(version) {
			n++
		}
	}
	return n
}

// waitForVersion returns the time until every engine serves the version, and false
// if that takes longer than limit.
func (f *fleet) waitForVersion(version int, limit time.Duration) (time.Duration, bool) {
	start := f.Now()
	for f.Now() < start+limit {
		if f.servingCount(version) == len(f.engines()) {
			return f.Now() - start, true
		}
		f.RunUntil(f.Now() + 100*time.Millisecond)
	}
	return limit, false
}

// leaseHolder returns the Instance that holds the lease of the service, or nil.
func (f *fleet) leaseHolder() *virtual.Instance {
	for _, i := range f.Instances() {
		for _, o := range i.View().Orders {
			if i.Alive() && o.Fence != 0 {
				return i
			}
		}
	}
	return nil
}

// leaseHolderCount returns the number of Instances that act as lease holder.
func (f *fleet) leaseHolderCount() int {
	n := 0
	for _, i := range f.Instances() {
		for _, o := range i.View().Orders {
			if i.Alive() && o.Fence != 0 {
				n++
			}
		}
	}
	return n
}

func (f *fleet) recordCount(kind string) int {
	n := 0
	for _, i := range f.Instances() {
		n += i.EventCounts["orders."+kind]
	}
	return n
}

// findReordered describes an order of an older holder, or of an older version by
// another holder, that an engine executed after a newer one. It returns an empty
// string if there is none.
func (f *fleet) findReordered() string {
	last := map[core.UpstreamID]virtual.ExecutedOrder{}
	for _, e := range f.Executed {
		previous := last[e.Upstream]
		previousVersion, _ := strconv.Atoi(previous.Want.Version)
		version, _ := strconv.Atoi(e.Want.Version)
		if e.Fence < previous.Fence || e.Fence > previous.Fence && version < previousVersion {
			return fmt.Sprintf("%s executed %+v after %+v", e.Upstream, e, previous)
		}
		last[e.Upstream] = e
	}
	return ""
}

// Guards against a change of the document that causes no orders or repeated orders,
// and against more simultaneous loads than permitted. Nine loads of 5 s, four at a
// time, take 15 s; the bound leaves 10 s for the change to become active and for
// reports.
func TestVersionReachesEveryEngine(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, true)
	is.Equal(f.leaseHolderCount(), 1)
	is.Equal(len(f.Executed), 0) // engines start in the desired state
	f.promote(2)
	elapsed, converged := f.waitForVersion(2, 25*time.Second)
	t.Logf("9 engines reached the version in %v with %d orders", elapsed, len(f.Executed))
	is.True(converged)
	is.Equal(f.PeakLoads, maxLoads)
	f.RunUntil(f.Now() + 10*time.Second)
	is.Equal(len(f.Executed), 9)
	is.Equal(f.recordCount("sent"), 9)
	is.Equal(f.recordCount("done"), 9)
	for _, i := range f.Instances() {
		for _, o := range i.View().Orders {
			is.Equal(len(o.OutOfSync), 0) // candidates have the reports of all regions
		}
	}
}

// Guards against orders that stop when the lease holder fails, and against an engine
// that executes an order of a previous holder after one of its successor. A
// successor acquires the lease within 1.02 terms of 30 s and two polls of 5 s; the
// loads take 15 s, and twice that if the document changes in between.
func TestOrdersSurviveTheirHolder(t *testing.T) {
	const limit = 100 * time.Second
	faults := []struct {
		name string
		do   func(f *fleet, i *virtual.Instance)
	}{
		{"killed", func(_ *fleet, i *virtual.Instance) { i.Kill() }},
		{"restarted", func(_ *fleet, i *virtual.Instance) { i.Restart() }},
		{"paused beyond the term", func(_ *fleet, i *virtual.Instance) { i.Pause(40 * time.Second) }},
		{"partitioned from the store", func(f *fleet, i *virtual.Instance) { f.Partition(string(i.View().Instance.ID), virtual.StoreName) }},
		{"shut down", func(_ *fleet, i *virtual.Instance) { i.Shutdown() }},
		{"store replies lost and killed", func(f *fleet, i *virtual.Instance) { f.SetStoreFaults(0.5, 0.2); i.Kill() }},
		{"partitioned from the engines and paused", func(f *fleet, i *virtual.Instance) {
			for _, up := range f.engines() {
				f.Partition(string(i.View().Instance.ID), string(up.ID))
			}
			i.Pause(40 * time.Second)
		}},
	}
	for n, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(uint64(n), true)
			delays := rand.New(rand.NewPCG(uint64(n), 1))
			f.SetOrderDelay(func(core.UpstreamID) time.Duration { return time.Duration(delays.Int64N(int64(9 * time.Second))) })
			f.promote(2)
			f.RunUntil(f.Now() + 3*time.Second)
			first := f.leaseHolder()
			is.True(first != nil)
			fault.do(f, first)
			f.RunUntil(f.Now() + 10*time.Second)
			f.promote(3)
			elapsed, converged := f.waitForVersion(3, limit)
			t.Logf("%d engines after %v, %d orders", f.servingCount(3), elapsed, len(f.Executed))
			is.True(converged)
			is.Equal(f.findReordered(), "")
			is.True(f.PeakLoads <= maxLoads)
		})
	}
}

// Guards against a graceful shutdown that does not release the lease, so that the
// service has no holder for a term of 30 s. Candidates read the lease every 5 s.
func TestShutdownHandsTheLeaseOver(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, true)
	first := f.leaseHolder()
	first.Shutdown()
	f.RunUntil(f.Now() + 7*time.Second)
	is.Equal(f.leaseHolderCount(), 1)
	is.True(f.leaseHolder() != first)
}

// Guards against an order that may arrive after the holder's term at an engine that
// ignores fencing tokens. The holder is partitioned from the store, the engine
// restarts in its initial state before the term ends, and the holder's order is
// slow. If it is sent too late in the term, it arrives after that of the next
// holder.
func TestPartitionedHolderSendsNoLateOrder(t *testing.T) {
	for restart := 10 * time.Second; restart < 30*time.Second; restart += time.Second {
		is := is.New(t)
		f := newFleet(6, true)
		f.promote(2)
		_, converged := f.waitForVersion(2, time.Minute)
		is.True(converged)
		partitionedAt := f.Now()
		f.SetOrderDelay(func(core.UpstreamID) time.Duration {
			if f.Now() < partitionedAt+30*time.Second {
				return 9900 * time.Millisecond
			}
			return 0
		})
		f.Partition(string(f.leaseHolder().View().Instance.ID), virtual.StoreName)
		f.RunUntil(partitionedAt + restart)
		for _, up := range f.engines() {
			f.Crash(up.ID)
		}
		f.RunUntil(f.Now() + 3*time.Second) // the engines have restarted and reported their load
		f.promote(3)
		f.waitForVersion(3, 100*time.Second)
		is.Equal(f.findReordered(), "")
	}
}

// Guards against a holder that continues to use the lease after a pause of the
// process: the pause ends the incarnation that acquired it.
func TestPauseDropsTheLease(t *testing.T) {
	is := is.New(t)
	f := newFleet(7, true)
	first := f.leaseHolder()
	first.Pause(3 * time.Second)
	f.RunUntil(f.Now() + 3500*time.Millisecond)
	is.Equal(f.leaseHolderCount(), 0)
}

// Guards against reordered orders and against engines that never reach the desired
// version, under random faults with at most two at a time.
func TestOrdersUnderRandomFaults(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		t.Cleanup(func() { _ = checks.Value.Set(checks.DefValue) })
		_ = checks.Value.Set("20") // a case takes 0.05 s, ten times as long with -race
	}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), true)
		delays := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "delays"), 1))
		f.SetOrderDelay(func(core.UpstreamID) time.Duration { return time.Duration(delays.Int64N(int64(9 * time.Second))) })
		version := 1
		for range 8 {
			if rapid.Bool().Draw(t, "promote") {
				version++
				f.promote(version)
			}
			for range rapid.IntRange(0, 2).Draw(t, "faults") {
				f.injectFault(t)
			}
			f.RunUntil(f.Now() + time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second)
			f.Heal()
			f.SetStoreFaults(0, 0)
			f.SetStoreLatency(0)
		}
		if _, converged := f.waitForVersion(version, 3*time.Minute); !converged {
			t.Fatalf("%d of %d engines serve version %d", f.servingCount(version), len(f.engines()), version)
		}
		if wrong := f.findReordered(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

func (f *fleet) injectFault(t *rapid.T) {
	i := f.Instances()[rapid.IntRange(0, len(f.Instances())-1).Draw(t, "instance")]
	if h := f.leaseHolder(); h != nil && rapid.Bool().Draw(t, "holder") {
		i = h
	}
	up := rapid.SampledFrom(f.engines()).Draw(t, "engine").ID
	id := string(i.View().Instance.ID)
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		i.Restart()
	case 1:
		i.Pause(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Second)
	case 2:
		f.Partition(id, virtual.StoreName)
	case 3:
		f.PartitionOneWay(virtual.StoreName, id)
	case 4:
		f.Partition(id, string(up))
	case 5:
		f.SetStoreFaults(0.5, 0.3)
	case 6:
		f.SetStoreLatency(3 * time.Second)
	case 7:
		f.Crash(up)
	}
}

// sendTraffic sends a request every 100 ms and checks that all complete.
func (f *fleet) sendTraffic(is *is.I, requests int) {
	is.Helper()
	for n := range requests {
		entry := f.Instances()[n%5].View().Instance.ID
		f.Send(entry, virtual.RequestOptions{Account: "large", Model: virtual.Model, PromptTokens: 500, OutputTokens: 20})
		f.RunUntil(f.Now() + 100*time.Millisecond)
	}
	f.RunUntil(f.Now() + 2*time.Second)
	for _, r := range f.Sequence {
		is.True(r.Completed)
	}
}

// Guards against requests to an engine in its previous role after the change is
// active, and in its new role before the engine reports it. The engine changes its
// role 15 s after the order.
func TestRoleChange(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, true)
	changed := &f.engines()[1]
	is.Equal(changed.Role, config.RoleDecode)
	changed.Role = config.RolePrefill
	f.Promote(f.opts.Document)
	f.RunUntil(f.Now() + 4*time.Second) // active at every Instance
	is.Equal(f.ServedState(changed.ID).Role, "decode")
	worked := f.AcceptedWork(changed.ID)
	f.sendTraffic(is, 80)
	is.Equal(f.Misplaced, 0)
	is.Equal(f.AcceptedWork(changed.ID), worked) // in neither role
	f.RunUntil(f.Now() + 5*time.Second)
	f.sendTraffic(is, 100)
	is.Equal(f.ServedState(changed.ID).Role, "prefill")
	is.Equal(f.Misplaced, 0)
	is.True(f.AcceptedWork(changed.ID) > worked)
}

// Guards against requests for a model at an engine that reports another model.
// Reports reach every Instance within 2 s of the change.
func TestWorkFollowsTheReportedModel(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, true)
	other := &f.engines()[2]
	service := &f.opts.Document.Services[0]
	service.Models = []core.ModelName{virtual.Model, "model-b"}
	other.Models = service.Models
	other.DesiredState = &config.DesiredState{Model: "model-b", Version: "1"}
	f.Promote(f.opts.Document)
	f.RunUntil(f.Now() + 12*time.Second)
	is.Equal(f.ServedState(other.ID).Model, core.ModelName("model-b"))
	f.sendTraffic(is, 100)
	is.Equal(f.Misplaced, 0)
}

// Guards against store calls for leases that grow with the fleet, or that occur
// although the document has no desired state. A holder renews three times in a term
// of 30 s and two candidates read every 5 s, which makes 1,800 calls an hour; the
// bound adds 10%.
func TestIdleStoreCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, true)
	before := f.storeCalls["orders"]
	f.RunUntil(f.Now() + time.Hour)
	t.Logf("%d store calls an hour for an idle service", f.storeCalls["orders"]-before)
	is.True(f.storeCalls["orders"]-before <= 1980)
	f = newFleet(4, false)
	f.RunUntil(f.Now() + time.Minute)
	is.Equal(f.storeCalls["orders"], 0)
}
