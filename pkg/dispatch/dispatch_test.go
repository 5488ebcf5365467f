package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const (
	service = core.ServiceName("llm")
	local   = core.DataCentreName("near")
	remote  = core.DataCentreName("far")
)

func newDispatcher(decode, prefill int) *Dispatcher {
	d := New(Params{
		Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: local,
		Regions: map[core.DataCentreName]core.RegionName{local: "one", remote: "two"},
	})
	d.SetEngineCapacity(map[core.ServiceName]EngineCapacity{service: {Slots: 8, MemoryTokens: 40_000}})
	var list []catalog.Upstream
	for i := range decode {
		list = append(list, catalog.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("d%d", i)), Service: service, DataCentre: local, Stage: catalog.StageDecode, Slots: 8,
		})
	}
	for i := range prefill {
		list = append(list, catalog.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("p%d", i)), Service: service, DataCentre: local, Stage: catalog.StagePrefill, Slots: 8,
		})
	}
	d.SetUpstreams(0, list)
	return d
}

func modelJob(id string, now core.Instant) Job {
	return Job{
		ID: core.RequestID(id), Service: service, IsModelRequest: true, MemoryTokens: 8000, PromptTokens: 5000,
		ArrivalTime: now, LatencyDeadline: now.Add(900 * time.Millisecond), Deadline: now.Add(14 * time.Second),
	}
}

func holdOf(t *testing.T, outputs []Output) Hold {
	t.Helper()
	for _, output := range outputs {
		if hold, ok := output.(Hold); ok {
			return hold
		}
	}
	t.Fatalf("no hold among %v", outputs)
	return Hold{}
}

// Guards against prompts that are processed for engines without capacity: an engine that
// refused a hold is skipped, and the request waits when all have refused.
func TestRefusedHoldGoesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(2, 1)
	now := core.Instant(time.Second)
	first := holdOf(t, d.Submit(now, modelJob("a", now)))
	second := holdOf(t, d.OnHoldRefused(now, "a"))
	is.True(first.Upstream != second.Upstream)
	is.Equal(len(d.OnHoldRefused(now, "a")), 0)
	is.Equal(d.QueueLength(), 1)
	third := holdOf(t, d.Tick(now.Add(100*time.Millisecond)))
	is.Equal(third.ID, core.RequestID("a"))
}

// Guards against a job that is placed after its deadline, when the process was paused.
func TestJobIsNotPlacedAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(0, 1)
	now := core.Instant(time.Second)
	is.Equal(len(d.Submit(now, modelJob("a", now))), 0)
	now = now.Add(15 * time.Second)
	outputs := d.SetUpstreams(now, []catalog.Upstream{{ID: "d0", Service: service, DataCentre: local, Stage: catalog.StageDecode, Slots: 8}})
	is.Equal(len(outputs), 1)
	refused, ok := outputs[0].(Refused)
	is.True(ok)
	is.Equal(refused.Refusal.Ran, core.NotRun)
	is.Equal(d.QueueLength(), 0)
}

// fixedLimiter allows each Upstream in it a number of requests.
type fixedLimiter struct {
	left map[core.UpstreamID]int
	wait time.Duration
}

func (fixedLimiter) Availability(core.UpstreamID) announce.Availability {
	return announce.Availability{}
}

func (l fixedLimiter) Limited(_ core.Instant, id core.UpstreamID) bool {
	_, limited := l.left[id]
	return limited
}

func (l fixedLimiter) Allow(_ core.Instant, id core.UpstreamID, requests int) (bool, time.Duration) {
	if l.Limited(0, id) && l.left[id] < requests {
		return false, l.wait
	}
	l.Return(0, id, -requests)
	return true, 0
}

func (l fixedLimiter) Return(_ core.Instant, id core.UpstreamID, requests int) {
	if l.Limited(0, id) {
		l.left[id] += requests
	}
}

// Guards against a request that waits for an Upstream at its announced rate although
// another one has room, and against one that waits although none can take it in time.
func TestUpstreamAtItsAnnouncedRateIsSkipped(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(0, 0)
	limits := fixedLimiter{left: map[core.UpstreamID]int{"near": 1}, wait: time.Second}
	d.params.Announcements = limits
	list := []catalog.Upstream{
		{ID: "near", Service: "plain", DataCentre: local, Slots: 6}, {ID: "far", Service: "plain", DataCentre: remote, Slots: 6},
	}
	d.SetUpstreams(0, list)
	call := func(id core.RequestID) Output {
		return d.Submit(0, Job{ID: id, Service: "plain", LatencyDeadline: core.Instant(300 * time.Millisecond), Deadline: core.Instant(time.Second)})[0]
	}
	is.Equal(call("1"), Call{ID: "1", Upstream: "near"})
	is.Equal(call("2"), Call{ID: "2", Upstream: "far"})
	limits.left["far"] = 0
	refused, ok := call("3").(Refused)
	is.True(ok)
	is.Equal(refused.Refusal.Ran, core.NotRun)
	is.True(refused.Refusal.RetryAfter >= limits.wait)
	is.Equal(d.QueueLength(), 0)
}

// Guards against a retry that waits for an Upstream at its announced rate although the one
// that failed it has room.
func TestRetryReturnsToTheFailedUpstreamWhenOthersAreAtTheirRate(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(0, 0)
	d.params.Announcements = fixedLimiter{left: map[core.UpstreamID]int{"limited": 0}, wait: time.Second}
	d.SetUpstreams(0, []catalog.Upstream{
		{ID: "failed", Service: "plain", DataCentre: local, Slots: 6}, {ID: "limited", Service: "plain", DataCentre: local, Slots: 6},
	})
	job := Job{ID: "1", Service: "plain", IsRetry: true, AvoidUpstreams: []core.UpstreamID{"failed"}, LatencyDeadline: core.Never, Deadline: core.Never}
	is.Equal(d.Submit(0, job), []Output{Call{ID: "1", Upstream: "failed"}})
}

// Guards against an announced rate that counts a hold and not the run after it, and against
// a refused hold that uses up the request of its run.
func TestHoldAndRunCountAgainstTheAnnouncedRate(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1, 1)
	limits := fixedLimiter{left: map[core.UpstreamID]int{"d0": 5, "p0": 1}, wait: time.Second}
	d.params.Announcements = limits
	holdOf(t, d.Submit(0, modelJob("a", 0)))
	is.Equal(limits.left["d0"], 3)
	_, _, found := d.OnHoldGranted(0, "a")
	is.True(found)
	is.Equal(limits.left["p0"], 0)
	d.Submit(0, modelJob("b", 0))
	d.OnHoldRefused(0, "b") // the hold itself was sent
	is.Equal(limits.left["d0"], 2)
	_, _, found = d.OnHoldGranted(0, "b")
	is.True(!found) // the prefill engine is at its rate
}

// Guards against requests to an Upstream that is leaving or was replaced.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(0, 0)
	d.SetUpstreams(0, []catalog.Upstream{
		{ID: "old", Service: "plain", DataCentre: local, Slots: 6, Leaving: true},
		{ID: "new", Service: "plain", DataCentre: remote, Slots: 6},
	})
	for i := range 20 {
		outputs := d.Submit(0, Job{ID: core.RequestID(fmt.Sprint(i)), Service: "plain", LatencyDeadline: core.Never, Deadline: core.Never})
		if i < maxPlainRequestsPerSlot*6 {
			is.Equal(outputs[0].(Call).Upstream, core.UpstreamID("new"))
		}
	}
}

// Guards against requests that continue to be sent to an Upstream which accepts them and
// fails: after a few requests the other Upstreams are used, also in another region.
func TestFailingUpstreamLosesItsWork(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(0, 0)
	d.SetUpstreams(0, []catalog.Upstream{
		{ID: "failing", Service: "plain", DataCentre: local, Slots: 6},
		{ID: "good", Service: "plain", DataCentre: remote, Slots: 6},
	})
	atFailing := 0
	for i := range 100 {
		id := core.RequestID(fmt.Sprint(i))
		up := d.Submit(0, Job{ID: id, Service: "plain", LatencyDeadline: core.Never, Deadline: core.Never})[0].(Call).Upstream
		d.RecordOutcome(up, up == "good")
		if up == "failing" {
			atFailing++
		}
		d.Release(0, id)
	}
	is.True(atFailing <= 10)
}

// Guards against KV caches and responses that cross regions while there is capacity in the
// local DataCentre, and against local engines that fill up while others are idle.
func TestLocalEnginesArePreferred(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(0, 1)
	d.SetUpstreams(0, []catalog.Upstream{
		{ID: "far", Service: service, DataCentre: remote, Stage: catalog.StageDecode, Slots: 8},
		{ID: "near", Service: service, DataCentre: local, Stage: catalog.StageDecode, Slots: 8},
	})
	var got []core.UpstreamID
	for i := range 8 {
		got = append(got, holdOf(t, d.Submit(0, modelJob(fmt.Sprint(i), 0))).Upstream)
	}
	is.Equal(got[:4], []core.UpstreamID{"near", "near", "near", "near"})
	is.True(slices.Contains(got, "far")) // five requests fill the local engine
}

// Guards against memory that is counted twice or never released, whichever way a request
// ends.
func TestLoadsReturnToZero(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(2, 2)
	now := core.Instant(time.Second)
	for i := range 12 {
		id := core.RequestID(fmt.Sprint(i))
		outputs := d.Submit(now, modelJob(string(id), now))
		if len(outputs) > 0 && i%2 == 0 {
			d.OnHoldGranted(now, id)
		}
		if i%3 == 0 {
			d.OnPrefillDone(id)
		}
	}
	for i := range 12 {
		d.Release(now, core.RequestID(fmt.Sprint(i)))
	}
	is.Equal(d.Loads(), map[core.UpstreamID]Load{})
	is.Equal(d.QueueLength(), 0)
}

// outcome counts the results of a simulated load.
type outcome struct {
	onTime, late, refused int
	// maxRefusalDelay is the longest time from the arrival of a request to its refusal.
	maxRefusalDelay time.Duration
}

// simulate submits requests at a constant rate to engines that release each hold after the
// time of a decode.
func simulate(d *Dispatcher, perSecond float64, length time.Duration) outcome {
	const decodeTime = 1500 * time.Millisecond
	var got outcome
	var events schedule.Queue[core.Instant, func(core.Instant)]
	arrived := map[core.RequestID]core.Instant{}
	var apply func(core.Instant, []Output)
	apply = func(now core.Instant, outputs []Output) {
		for _, output := range outputs {
			switch o := output.(type) {
			case Hold:
				d.OnHoldGranted(now, o.ID)
				events.Add(now.Add(100*time.Millisecond), func(now core.Instant) { d.OnPrefillDone(o.ID) })
				events.Add(now.Add(200*time.Millisecond), func(now core.Instant) {
					if now.Sub(arrived[o.ID]) <= 900*time.Millisecond {
						got.onTime++
						return
					}
					got.late++
				})
				events.Add(now.Add(decodeTime), func(now core.Instant) { apply(now, d.Release(now, o.ID)) })
			case Refused:
				got.refused++
				got.maxRefusalDelay = max(got.maxRefusalDelay, now.Sub(arrived[o.ID]))
			}
		}
	}
	start := core.Instant(time.Second)
	n := 0
	for at := start; at < start.Add(length); at = at.Add(time.Duration(float64(time.Second) / perSecond)) {
		id := core.RequestID(fmt.Sprint(n))
		n++
		events.Add(at, func(now core.Instant) {
			arrived[id] = now
			apply(now, d.Submit(now, modelJob(string(id), now)))
		})
	}
	for at := start; at < start.Add(length+5*time.Second); at = at.Add(20 * time.Millisecond) {
		events.Add(at, func(now core.Instant) { apply(now, d.Tick(now)) })
	}
	for {
		next, more := events.NextTime()
		if !more {
			return got
		}
		event, _, _ := events.PopDue(next)
		event(next)
	}
}

// Guards against a burst of twice the capacity that makes every response late: the engines
// stay full, the requests that they serve are on time, and the others are refused early
// enough for a retry to be useful.
func TestBurstOfTwiceTheCapacity(t *testing.T) {
	is := is.New(t)
	const engines, slots = 4, 5 // 40,000 tokens hold 5 requests of 8,000
	capacity := float64(engines*slots) / 1.5
	got := simulate(newDispatcher(engines, 2), 2*capacity, 10*time.Second)
	served := got.onTime + got.late
	is.True(float64(served) >= 0.95*capacity*10)         // the engines stay full
	is.True(float64(got.onTime) >= 0.95*float64(served)) // within the latency target
	is.True(got.maxRefusalDelay < 900*time.Millisecond)  // refused before the latency target has passed
}

// Guards against refusals while there is capacity.
func TestHalfLoadIsNeverRefused(t *testing.T) {
	is := is.New(t)
	got := simulate(newDispatcher(4, 2), 0.5*20/1.5, 10*time.Second)
	is.Equal(got.refused, 0)
	is.Equal(got.late, 0)
}

// availability is what each Upstream in it announces.
type availability map[core.UpstreamID]announce.Availability

func (a availability) Availability(id core.UpstreamID) announce.Availability { return a[id] }
func (availability) Limited(core.Instant, core.UpstreamID) bool              { return false }
func (availability) Return(core.Instant, core.UpstreamID, int)               {}
func (availability) Allow(core.Instant, core.UpstreamID, int) (bool, time.Duration) {
	return true, 0
}

// Guards against a job that is sent to an Upstream that leaves or wants no requests, that is
// refused although one returns in time or may become free, and that waits for one that does not.
func TestJobGoesByWhatUpstreamsAnnounce(t *testing.T) {
	now := core.Instant(time.Hour)
	in := func(d time.Duration) announce.Availability { return announce.Availability{BackoffUntil: now.Add(d)} }
	leaving := announce.Availability{Leaving: true}
	const waits, refusedUntilAMinute, refusedWithoutATime = "waits", "refused for a minute", "refused"
	for name, test := range map[string]struct {
		announced     availability
		isUnreachable bool // "b" can't be reached
		isRetry       bool
		want          string
	}{
		"other is free":                {announced: availability{"a": leaving}, want: "b"},
		"other wants requests":         {announced: availability{"a": in(time.Minute)}, want: "b"},
		"both leave":                   {announced: availability{"a": leaving, "b": leaving}, want: refusedWithoutATime},
		"both leave before a retry":    {announced: availability{"a": leaving, "b": leaving}, isRetry: true, want: waits},
		"both away for long":           {announced: availability{"a": in(time.Minute), "b": in(time.Hour)}, want: refusedUntilAMinute},
		"one returns in time":          {announced: availability{"a": in(time.Minute), "b": in(200 * time.Millisecond)}, want: waits},
		"one leaves, one away long":    {announced: availability{"a": leaving, "b": in(time.Minute)}, want: refusedUntilAMinute},
		"one away, one may come back":  {announced: availability{"a": in(time.Minute)}, isUnreachable: true, want: waits},
		"one leaves, one may come":     {announced: availability{"a": leaving}, isUnreachable: true, want: waits},
		"one leaves, one away shortly": {announced: availability{"a": leaving, "b": in(200 * time.Millisecond)}, want: waits},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New(Params{Rand: rand.New(rand.NewPCG(1, 1)), Announcements: test.announced})
			d.SetUpstreams(now, []catalog.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}})
			if test.isUnreachable {
				d.MarkUnreachable(now, "b")
			}
			got := waits
			for _, output := range d.Submit(now, Job{ID: "j", Service: "s", IsRetry: test.isRetry, ArrivalTime: now, LatencyDeadline: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}) {
				switch o := output.(type) {
				case Call:
					got = string(o.Upstream)
				case Refused:
					got = refusedWithoutATime
					if o.Refusal.RetryAfter >= time.Minute && o.Refusal.RetryAfter <= 90*time.Second {
						got = refusedUntilAMinute
					}
					is.True(o.Refusal.RetryAfter > 0)
				}
			}
			is.Equal(got, test.want)
		})
	}
}

// Guards against a job that stays in the queue when its Upstream returns or another one leaves.
func TestWaitingJobsGoByNewAnnouncements(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Hour)
	announced := availability{"a": {BackoffUntil: now.Add(200 * time.Millisecond)}}
	d := New(Params{Rand: rand.New(rand.NewPCG(1, 1)), Announcements: announced})
	d.SetUpstreams(now, []catalog.Upstream{{ID: "a", Service: "s", Slots: 4}})
	job := Job{ID: "j", Service: "s", ArrivalTime: now, LatencyDeadline: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
	is.Equal(len(d.Submit(now, job)), 0)
	is.Equal(d.Tick(now.Add(220*time.Millisecond)), []Output{Call{ID: "j", Upstream: "a"}})

	job.ID = "k"
	announced["a"] = announce.Availability{BackoffUntil: now.Add(500 * time.Millisecond)}
	is.Equal(len(d.OnAnnouncement(now, "a")), 0)
	is.Equal(len(d.Submit(now, job)), 0)
	announced["a"] = announce.Availability{BackoffUntil: now.Add(time.Minute)}
	outputs := d.OnAnnouncement(now, "a")
	is.Equal(len(outputs), 1)
	_, refused := outputs[0].(Refused)
	is.True(refused)
}

// Guards against jobs that are refused because they would have to wait for longer than the ramp-up
// after a backoff lasts.
func TestJobsWaitNoLongerThanTheRampUp(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Hour)
	announced := availability{"a": {BackoffUntil: now.Add(200 * time.Millisecond)}}
	d := New(Params{Rand: rand.New(rand.NewPCG(1, 1)), Announcements: announced})
	d.SetUpstreams(now, []catalog.Upstream{{ID: "a", Service: "s", Slots: 100}})
	const jobs = 30
	for i := range jobs {
		job := Job{ID: core.RequestID(strconv.Itoa(i)), Service: "s", ArrivalTime: now, LatencyDeadline: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
		is.Equal(len(d.Submit(now, job)), 0)
	}
	is.Equal(len(d.Tick(now.Add(220*time.Millisecond))), jobs)
}
