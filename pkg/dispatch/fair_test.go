package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

// plainSite runs a Dispatcher and one replica of a plain service in virtual time. The replica has six
// slots, a first-come first-served queue, and takes workTime for a request.
type plainSite struct {
	d        *Dispatcher
	now      core.Instant
	events   schedule.Queue[core.Instant, func()]
	workTime time.Duration
	slots    [6]core.Instant // when each is free
	arrived  map[core.RequestID]core.Instant
	accounts map[core.RequestID]core.AccountID
	urgency  map[core.RequestID]int
	seq      int

	submitted, placed, refused map[string]int
	longestWait                map[string]time.Duration
}

func newPlainSite(workTime time.Duration) *plainSite {
	s := &plainSite{
		d: New(Params{Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: local}), now: core.Instant(time.Hour), workTime: workTime,
		arrived: map[core.RequestID]core.Instant{}, accounts: map[core.RequestID]core.AccountID{}, urgency: map[core.RequestID]int{},
		submitted: map[string]int{}, placed: map[string]int{}, refused: map[string]int{}, longestWait: map[string]time.Duration{},
	}
	s.d.SetUpstreams(s.now, []catalog.Upstream{{ID: "r", Service: service, DataCentre: local, Slots: 6}})
	return s
}

// kind names the requests of an account with an urgency in the counts.
func kind(account core.AccountID, urgency int) string { return fmt.Sprintf("%s/%d", account, urgency) }

func (s *plainSite) submit(account core.AccountID, urgency int, target time.Duration) {
	s.seq++
	id := core.RequestID(fmt.Sprint(s.seq))
	s.arrived[id], s.accounts[id], s.urgency[id] = s.now, account, urgency
	s.submitted[kind(account, urgency)]++
	s.apply(s.d.Submit(s.now, Job{
		ID: id, Service: service, Priority: urgency, ArrivalTime: s.now, LatencyDeadline: s.now.Add(target), Deadline: s.now.Add(10 * target),
		Account: account, Weight: 1, Cost: 1,
	}))
}

func (s *plainSite) apply(outputs []Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case Call:
			k := kind(s.accounts[o.ID], s.urgency[o.ID])
			s.placed[k]++
			s.longestWait[k] = max(s.longestWait[k], s.now.Sub(s.arrived[o.ID]))
			first := slices.Index(s.slots[:], slices.Min(s.slots[:]))
			s.slots[first] = max(s.slots[first], s.now).Add(s.workTime)
			s.events.Add(s.slots[first], func() { s.apply(s.d.Release(s.now, o.ID)) })
		case Refused:
			s.refused[kind(s.accounts[o.ID], s.urgency[o.ID])]++
		}
	}
}

// every submits a request of an account at an interval.
func (s *plainSite) every(interval time.Duration, submit func()) {
	s.events.Add(s.now.Add(interval), func() { submit(); s.every(interval, submit) })
}

func (s *plainSite) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now < end; {
		at, found := s.events.NextTime()
		if !found {
			at = end
		}
		if wake := s.d.NextWake(); wake < at {
			s.now = max(s.now, wake)
			s.apply(s.d.Tick(s.now))
			continue
		}
		s.now = max(s.now, at)
		if event, _, due := s.events.PopDue(at); due {
			event()
		}
	}
}

// Guards against an account that pipelines requests without end and fills the queue, so that an
// account with a hundredth of the load is refused or waits behind it.
func TestPipelinedRequestsDoNotKeepOthersOut(t *testing.T) {
	s := newPlainSite(30 * time.Millisecond) // 200 requests/s
	for range 500 {
		s.submit("pipeline", 0, 300*time.Millisecond)
	}
	s.every(time.Millisecond, func() { s.submit("pipeline", 0, 300*time.Millisecond) })
	s.every(100*time.Millisecond, func() { s.submit("ordinary", 0, 300*time.Millisecond) })
	s.run(5 * time.Second)
	if n := s.refused["ordinary/0"]; n > 0 {
		t.Errorf("%d of %d ordinary requests were refused", n, s.submitted["ordinary/0"])
	}
	if wait := s.longestWait["ordinary/0"]; wait > s.workTime {
		t.Errorf("an ordinary request waited for %s, longer than a place takes to become free", wait)
	}
	if n := s.placed["pipeline/0"]; n < 900 {
		t.Errorf("the pipelined requests got %d places of 1,000, although others left 950", n)
	}
}

// Guards against requests that are never placed while more urgent ones wait, and against a guarantee
// that serves the less urgent as often as the urgent.
func TestLessUrgentRequestsAreNotStarved(t *testing.T) {
	s := newPlainSite(30 * time.Millisecond) // 200 requests/s
	s.every(2500*time.Microsecond, func() { s.submit("a", 0, 300*time.Millisecond) })
	s.every(10*time.Millisecond, func() { s.submit("a", 2, 300*time.Millisecond) })
	s.run(20 * time.Second)
	t.Log(s.placed, s.submitted)
	of := func(k string) float64 { return float64(s.placed[k]) / float64(s.submitted[k]) }
	all := float64(s.placed["a/0"]+s.placed["a/2"]) / float64(s.submitted["a/0"]+s.submitted["a/2"])
	if of("a/2") < 0.3*all {
		t.Errorf("served: %.3f of the less urgent, %.3f of all", of("a/2"), all)
	}
	if of("a/0") < 1.5*of("a/2") {
		t.Errorf("served: %.3f of the urgent, %.3f of the less urgent", of("a/0"), of("a/2"))
	}
}

// Guards against places that an account can't use although nobody else asks for them, and against one that
// fills all of them again as soon as the others have been served.
func TestPlacesAreUsedUnlessOthersLackThem(t *testing.T) {
	s := newPlainSite(30 * time.Millisecond)
	inUse := func() int { return s.d.Loads()["r"].Requests }
	for range 40 {
		s.submit("large", 0, time.Second)
	}
	if inUse() != 18 {
		t.Errorf("%d requests are placed while nobody else asks, want 18", inUse())
	}
	for range 4 {
		s.submit("small", 0, time.Second)
	}
	s.run(35 * time.Millisecond) // six places became free
	if s.placed["small/0"] != 4 || inUse() > 16 {
		t.Errorf("%d requests of the small account were placed, %d are in progress", s.placed["small/0"], inUse())
	}
	s.run(60 * time.Millisecond)
	if inUse() != 9 {
		t.Errorf("%d requests are in progress after others had to wait, want 9", inUse())
	}
	s.run(5 * time.Second)
	if s.placed["large/0"] != 40 {
		t.Errorf("%d of 40 requests of the large account were placed", s.placed["large/0"])
	}
}
