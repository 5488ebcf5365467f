package dispatch

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// regionalDispatcher has a decode and a prefill engine and a plain replica in each of the DataCentres a
// (region east), b (west) and c, which has no known region.
func regionalDispatcher() (*Dispatcher, []catalog.Upstream) {
	d := New(Params{
		Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: "a", Regions: map[core.DataCentreName]core.RegionName{"a": "east", "b": "west"},
	})
	d.SetEngineCapacity(map[core.ServiceName]EngineCapacity{"llm": {Slots: 64, MemoryTokens: 1 << 20}})
	var list []catalog.Upstream
	for _, dc := range []core.DataCentreName{"a", "b", "c"} {
		list = append(list,
			catalog.Upstream{ID: core.UpstreamID("decode-" + dc), Service: "llm", DataCentre: dc, Stage: catalog.StageDecode, Slots: 64},
			catalog.Upstream{ID: core.UpstreamID("prefill-" + dc), Service: "llm", DataCentre: dc, Stage: catalog.StagePrefill, Slots: 64},
			catalog.Upstream{ID: core.UpstreamID("plain-" + dc), Service: "plain", DataCentre: dc, Slots: 64})
	}
	return d, list
}

// Guards against requests that run or are prefilled outside their regions: at first, as a retry with
// the only allowed Upstream to be avoided, and at an Upstream of unknown region.
func TestJobsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	d, list := regionalDispatcher()
	now := core.Instant(time.Second)
	d.SetUpstreams(now, list)
	for range 30 {
		for _, retry := range []bool{false, true} {
			stream := modelJob("stream", now)
			stream.Service, stream.Regions, stream.IsRetry = "llm", locality.Only("west"), retry
			stream.AvoidUpstreams = []core.UpstreamID{"decode-b", "prefill-b", "plain-b"}
			is.Equal(holdOf(t, d.Submit(now, stream)).Upstream, core.UpstreamID("decode-b"))
			prefill, _, found := d.OnHoldGranted(now, "stream")
			is.True(found)
			is.Equal(prefill, core.UpstreamID("prefill-b"))
			call := Job{ID: "call", Service: "plain", Regions: locality.Only("west"), IsRetry: retry, AvoidUpstreams: stream.AvoidUpstreams,
				LatencyDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)}
			is.Equal(d.Submit(now, call), []Output{Call{ID: "call", Upstream: "plain-b"}})
			d.Release(now, "stream")
			d.Release(now, "call")
		}
	}
	is.True(d.Allows(locality.Set{}, "decode-c"))
	is.True(!d.Allows(locality.Only("", "east"), "decode-c"))
	is.True(!d.Allows(locality.Only("east"), "gone"))
}

// Guards against restricted requests that wait in vain, or run elsewhere, when all Upstreams of their
// regions leave, go or never existed; and against a refusal before the Upstreams are known.
func TestJobWithoutUpstreamInItsRegionsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Second)
	submit := func(d *Dispatcher, regions locality.Set, retry bool) []Output {
		job := modelJob("1", now)
		job.Service, job.Regions, job.IsRetry = "llm", regions, retry
		return d.Submit(now, job)
	}
	wantRefusal := func(outputs []Output, names string) {
		t.Helper()
		is.Equal(len(outputs), 1)
		refusal := outputs[0].(Refused).Refusal
		is.Equal(refusal.Code, core.CodeNoUpstream)
		is.Equal(refusal.Ran, core.NotRun)
		is.True(strings.HasSuffix(refusal.Message, "allowed regions: "+names))
		is.True(refusal.RetryAfter > 0)
	}
	none := locality.Only("east").Intersect(locality.Only("west"))
	for _, retry := range []bool{false, true} {
		d, list := regionalDispatcher()
		is.Equal(len(submit(d, locality.Only("west"), retry)), 0) // no list yet
		is.Equal(holdOf(t, d.SetUpstreams(now, list)).Upstream, core.UpstreamID("decode-b"))
		d.Release(now, "1")
		wantRefusal(submit(d, none, retry), "none")
		wantRefusal(submit(d, locality.Only("moon"), retry), "moon")
		list[3].Leaving = true // decode-b; the prefill engine there runs no request
		d.SetUpstreams(now, list)
		wantRefusal(submit(d, locality.Only("west"), retry), "west")
		is.Equal(holdOf(t, submit(d, locality.Only("west", "east"), retry)).Upstream, core.UpstreamID("decode-a"))
		d.Release(now, "1")

		d.SetUpstreams(now, nil)
		wantRefusal(submit(d, locality.Only("west"), retry), "west")
		is.Equal(len(submit(d, locality.Set{}, retry)), 0) // unrestricted jobs wait as before
		d.SetRegions("1", none)
		wantRefusal(d.PlaceAgain(now), "none")
		is.Equal(d.QueueLength(), 0)
	}
}

// Guards against a decode engine that is given up for one that the request may not use, and against a
// backoff that the Upstreams of other regions hide.
func TestReplacementIsInTheSameRegions(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Second)
	d, list := regionalDispatcher()
	list[3].Leaving = true
	d.SetUpstreams(now, list)
	is.True(d.IsReplaceable(now, "decode-b", locality.Set{}))
	is.True(!d.IsReplaceable(now, "decode-b", locality.Only("west")))
	d.upstreams["plain-b"].announced.BackoffUntil = now.Add(time.Second)
	is.Equal(d.BackoffWait(now, "plain", false, locality.Only("west")), time.Second)
	is.Equal(d.BackoffWait(now, "plain", false, locality.Set{}), time.Duration(0))
}
