package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// newColdDispatcher returns the Dispatcher of the only Instance, with plain Upstreams of which some are
// cold for a minute. A cold Upstream takes four requests in a second.
func newColdDispatcher(now core.Instant, warm, cold int) (*Dispatcher, *warmup.Registry) {
	registry := warmup.New(0, "self", warmup.Params{})
	registry.SetRates(map[core.ServiceName]float64{service: 4})
	registry.SetMembers(nil)
	d := New(Params{Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: local, Warmup: registry})
	var list []catalog.Upstream
	for i := range warm + cold {
		up := catalog.Upstream{ID: core.UpstreamID(fmt.Sprintf("u%d", i)), Service: service, DataCentre: local, Slots: 100}
		if i >= warm {
			up.ColdFor = time.Minute
		}
		list = append(list, up)
	}
	registry.SetUpstreams(now, list)
	d.SetUpstreams(now, list)
	return d, registry
}

func plainJob(id string, now core.Instant) Job {
	return Job{ID: core.RequestID(id), Service: service, ArrivalTime: now, LatencyDeadline: now.Add(1500 * time.Millisecond), Deadline: now.Add(5 * time.Second)}
}

// Guards against a cold Upstream that gets the requests which others could serve, or more than it takes.
func TestRestGoesToWarmUpstreams(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Minute)
	d, registry := newColdDispatcher(now, 1, 1)
	calls := map[core.UpstreamID]int{}
	for i := range 100 {
		for _, output := range d.Submit(now, plainJob(fmt.Sprint(i), now)) {
			calls[output.(Call).Upstream]++
		}
	}
	is.Equal(calls["u1"], 4)
	is.Equal(calls["u0"], 96)
	is.Equal(registry.Summary(now).Sent, 4)
	is.True(registry.Summary(now).Deferred > 0)
}

// Guards against a burst at cold Upstreams when no other one is registered: the rest waits within the
// latency target, and is refused as not run beyond it.
func TestRequestsWaitWhileAllUpstreamsAreCold(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Minute)
	d, _ := newColdDispatcher(now, 0, 1)
	calls, refused := 0, 0
	count := func(outputs []Output) {
		for _, output := range outputs {
			switch o := output.(type) {
			case Call:
				calls++
			case Refused:
				refused++
				is.Equal(o.Refusal.Ran, core.NotRun)
				is.True(o.Refusal.RetryAfter < 5*time.Second)
			}
		}
	}
	for i := range 20 {
		count(d.Submit(now, plainJob(fmt.Sprint(i), now)))
	}
	is.Equal(calls, 4)
	is.Equal(d.QueueLength(), 4) // for the same places, 1.02 s later
	is.Equal(refused, 12)
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		count(d.Tick(now))
	}
	is.Equal(calls, 8)
	is.Equal(d.QueueLength(), 0)
}
