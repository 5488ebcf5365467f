package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
)

// unevenDispatcher returns a Dispatcher with a number of Upstreams of a kind, of which the first states
// that work takes factor times as long.
func unevenDispatcher(stage catalog.Stage, n int, now core.Instant, factor float64) *Dispatcher {
	paces := pace.New()
	d := New(Params{Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: local, Pace: paces})
	d.SetEngineCapacity(map[core.ServiceName]EngineCapacity{service: {Slots: 8, MemoryTokens: 40_000}})
	var list []catalog.Upstream
	for i := range n {
		id := core.UpstreamID(fmt.Sprintf("u%d", i))
		list = append(list, catalog.Upstream{ID: id, Addr: string(id), Service: service, DataCentre: local, Stage: stage, Slots: 6})
	}
	if stage == catalog.StagePrefill {
		list = append(list, catalog.Upstream{ID: "decode", Addr: "decode", Service: service, DataCentre: local, Stage: catalog.StageDecode})
	}
	paces.SetUpstreams(now, list)
	d.SetUpstreams(now, list)
	for range 4 {
		load := pace.Load{Stated: true, Pace: factor}
		paces.ObserveLoad(now, "u0", "u0", now, load)
		d.OnLoad(now, "u0", load)
	}
	return d
}

// place submits jobs and counts those that each Upstream gets.
func placements(d *Dispatcher, now core.Instant, model bool, jobs int) map[core.UpstreamID]int {
	got := map[core.UpstreamID]int{}
	for i := range jobs {
		j := modelJob(fmt.Sprint(i), now)
		j.IsModelRequest, j.MemoryTokens, j.PromptTokens = model, 1000, 1000
		for _, output := range d.Submit(now, j) {
			switch o := output.(type) {
			case Call:
				got[o.Upstream]++
			case Hold:
				if id, _, found := d.OnHoldGranted(now, o.ID); found {
					got[id]++
				} else {
					got[o.Upstream]++
				}
			}
		}
	}
	return got
}

// Guards against choices by count alone, which give a slow Upstream as much as the others, and
// against a fast one that draws everything although it is loaded by then.
func TestSlowUpstreamsGetLessAndFastOnesMore(t *testing.T) {
	now := core.Instant(time.Second)
	for name, test := range map[string]struct {
		stage catalog.Stage
		model bool
	}{"plain": {catalog.StagePlain, false}, "prefill": {catalog.StagePrefill, true}, "decode": {catalog.StageDecode, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			equal := placements(unevenDispatcher(test.stage, 3, now, 1), now, test.model, 6)
			is.Equal(equal, map[core.UpstreamID]int{"u0": 2, "u1": 2, "u2": 2})
			slow := placements(unevenDispatcher(test.stage, 3, now, 4), now, test.model, 6)
			is.True(slow["u0"] <= 1)
			fast := placements(unevenDispatcher(test.stage, 3, now, 0.7), now, test.model, 12)
			is.True(fast["u0"] > fast["u1"] && fast["u1"] > 0 && fast["u2"] > 0)
		})
	}
}

// Guards against a slow Upstream that is not used although the others are full.
func TestSlowUpstreamIsUsedWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Second)
	got := placements(unevenDispatcher(catalog.StagePlain, 2, now, 4), now, false, 6+3*6)
	is.Equal(got["u0"], 6) // one for each slot, and no queue of four times the usual length
	is.Equal(got["u1"], 3*6)
}

// Guards against requests that follow others to an Upstream that has become silent or slow, before
// the first answer shows it.
func TestOverdueAnswerKeepsRequestsAway(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Second)
	d := unevenDispatcher(catalog.StagePlain, 2, now, 1)
	for range 10 {
		d.params.Pace.ObserveDuration(now, "u0", now, 0.02, 1)
		d.params.Pace.ObserveDuration(now, "u1", now, 0.02, 1)
	}
	slow := d.Submit(now, Job{ID: "a", Service: service, LatencyDeadline: core.Never, Deadline: core.Never})[0].(Call).Upstream
	for i := range 3 { // the other one is the fuller
		d.SetPeerLoads("peer", map[core.UpstreamID]Load{map[core.UpstreamID]core.UpstreamID{"u0": "u1", "u1": "u0"}[slow]: {Requests: i}})
	}
	now = now.Add(200 * time.Millisecond)
	next := d.Submit(now, Job{ID: "b", Service: service, LatencyDeadline: core.Never, Deadline: core.Never})[0].(Call).Upstream
	is.True(next != slow)
	d.Release(now, "a")
	d.Release(now, "b")
	now = now.Add(time.Second)
	is.Equal(placements(d, now, false, 2)[slow], 2) // nothing is overdue any more
}

// Guards against a service whose requests are all refused because its Upstreams state a false pace.
func TestFalsePacesDoNotRefuseRequests(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Second)
	d := unevenDispatcher(catalog.StagePrefill, 1, now, 1e6)
	got := placements(d, now, true, 4)
	is.Equal(got["u0"]+got["decode"], 4)
}

// Guards against a choice that costs more than 20 us among 1,300 engines, a third of which have a pace.
func BenchmarkChoice(b *testing.B) {
	for _, stage := range []catalog.Stage{catalog.StagePlain, catalog.StagePrefill, catalog.StageDecode} {
		b.Run("stage="+string(stage), func(b *testing.B) {
			now := core.Instant(time.Second)
			d := unevenDispatcher(stage, 1300, now, 4)
			for i := range 1300 / 3 {
				id := core.UpstreamID(fmt.Sprintf("u%d", 3*i))
				d.params.Pace.ObserveLoad(now, id, string(id), now, pace.Load{Stated: true, Pace: 1.7})
			}
			j := &job{Job: modelJob("a", now)}
			j.IsModelRequest = stage != catalog.StagePlain
			for b.Loop() {
				now = now.Add(time.Millisecond) // paces are computed again every 50 choices
				d.refreshPaces(now)
				switch stage {
				case catalog.StagePlain:
					d.choosePlain(now, j)
				case catalog.StagePrefill:
					d.choosePrefill(now, j)
				case catalog.StageDecode:
					d.chooseDecode(now, j)
				}
			}
		})
	}
}

// Guards against a fast service whose requests all go to one Upstream, because its answers of less than
// a millisecond are measured as the fastest.
func TestDurationsBelowAMillisecondDoNotDiffer(t *testing.T) {
	is := is.New(t)
	d := unevenDispatcher(catalog.StagePlain, 2, 0, 1)
	now := core.Instant(time.Second)
	for i := range 40 {
		up := d.upstreams[core.UpstreamID(fmt.Sprintf("u%d", i%2))]
		took := time.Duration(1+2*(i%2)) * 300 * time.Microsecond
		d.observePace(now, up, attemptWork{sentAt: now, units: 1, weight: 1}, took)
		now = now.Add(20 * time.Millisecond)
	}
	d.refreshPaces(now)
	is.Equal(d.upstreams["u0"].paceFactor(), d.upstreams["u1"].paceFactor())
}
