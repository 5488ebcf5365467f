package evacuation

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const bound = 5 * time.Second

func newState() *State {
	return New(Params{Bound: bound, Rand: rand.New(rand.NewPCG(1, 2))})
}

func at(number uint64) core.StoreRevision { return core.StoreRevision{Era: 1, Number: number} }

func second(n float64) core.Instant { return core.Instant(n * float64(time.Second)) }

// list lets the State read the store.
func list(s *State, now core.Instant, revision core.StoreRevision, listed ...core.DataCentreName) []Event {
	if _, due := s.NextCall(now, true); !due {
		panic("no call is due")
	}
	return s.OnRead(now, Result{At: revision, Listed: listed})
}

// Guards against reports that a partition has delayed: they would keep an Instance from reading the
// store although nothing recent has reached it.
func TestDelayedReportConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s, sender := newState(), core.InstanceRef{ID: "peer", Incarnation: 1}
	list(s, second(1), at(10))
	report := func(arrival, sent float64) {
		s.OnReport(second(arrival), sender, &Report{At: at(10), AgeMS: 100, SentMS: int64(sent * 1000)})
	}
	report(3, 103) // another clock, and nothing to compare with
	age, _ := s.Age(second(3))
	is.Equal(age, 2*time.Second)
	report(3.5, 103.5)
	age, _ = s.Age(second(3.5))
	is.Equal(age, 100*time.Millisecond)
	report(7, 104) // 3 s late
	age, _ = s.Age(second(7))
	is.True(age > 3*time.Second)
	_, due := s.NextCall(second(7), false)
	is.True(due)
}

// Guards against a follower that reads the store although it hears recent confirmations.
func TestFollowerReliesOnReports(t *testing.T) {
	is := is.New(t)
	s := newState()
	list(s, second(1), at(10))
	for now := 1.5; now < 30; now += 0.5 {
		s.OnReport(second(now), core.InstanceRef{ID: "peer"}, &Report{At: at(10), AgeMS: 1500, SentMS: int64(now * 1000)})
		_, due := s.NextCall(second(now), false)
		is.True(!due)
	}
}

// Guards against changes that are applied twice or in part, when a peer has reported some of them while
// the watch was waiting.
func TestChangesAfterAReport(t *testing.T) {
	is := is.New(t)
	s := newState()
	list(s, second(1), at(10), "a")
	call, due := s.NextCall(second(1), true)
	is.True(due && call.Watch)
	s.OnReport(second(2), core.InstanceRef{ID: "peer"}, &Report{At: at(12), AgeMS: 1, InForce: []ReportedZone{{"b", 5}, {"c", 5}}})
	changes := []Change{{"b", false}, {"a", true}, {"c", false}, {"a", false}, {"b", true}}
	s.OnRead(second(2.1), Result{At: at(11), Changes: changes[:1]}) // older than the report
	is.Equal(s.DataCentres(), []core.DataCentreName{"b", "c"})
	_, due = s.NextCall(second(2.1), true)
	is.True(due)
	s.OnRead(second(2.2), Result{At: at(15), Changes: changes})
	is.Equal(s.DataCentres(), []core.DataCentreName{"a", "c"})
}

// Guards against a list of an earlier era that arrives late and ends what the new era lists.
func TestReportOfAnEarlierEraIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newState()
	list(s, second(1), core.StoreRevision{Era: 2, Number: 5}, "a")
	s.OnReport(second(2), core.InstanceRef{ID: "peer"}, &Report{At: at(900), AgeMS: 1})
	is.True(s.InForce("a"))
}

// Guards against an Instance that starts after the store has gone back and sends to data centres that
// all others still keep out of use, and against reports that prolong this.
func TestKeptEvacuationReachesNewInstancesOnce(t *testing.T) {
	is := is.New(t)
	old, started := newState(), newState()
	list(old, second(1), at(10), "a")
	events := old.ObserveEra(second(2), 2)
	is.Equal(len(events), 1)
	is.Equal(events[0].Kind, EventKept)
	list(old, second(2), core.StoreRevision{Era: 2, Number: 3})
	list(started, second(3), core.StoreRevision{Era: 2, Number: 3})
	started.OnReport(second(3), core.InstanceRef{ID: "old"}, old.Report(second(3)))
	is.True(started.InForce("a"))
	for now := 3.0; now < 7.1; now += 0.1 {
		old.OnReport(second(now+0.03), core.InstanceRef{ID: "started"}, started.Report(second(now)))
		started.OnReport(second(now+0.03), core.InstanceRef{ID: "old"}, old.Report(second(now)))
		old.Tick(second(now + 0.03))
		started.Tick(second(now + 0.03))
		is.Equal(old.InForce("a"), now+0.03 < 7)
	}
	is.True(!started.InForce("a"))
}

// Guards against heartbeats that grow: the link between two regions carries those of 330 Instances.
func TestReportSize(t *testing.T) {
	is := is.New(t)
	size := func(list ...core.DataCentreName) int {
		s := newState()
		s.replace(second(1), core.StoreRevision{Era: 3, Number: 4_000_000}, sinceNow(second(1), list), "")
		s.confirm(second(90_000))
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		is.NoErr(encoder.Encode(s.Report(second(90_002)))) // with the description of the types
		before := buffer.Len()
		is.NoErr(encoder.Encode(s.Report(second(90_002))))
		return buffer.Len() - before
	}
	empty, five := size(), size("westmark-1", "westmark-2", "westmark-3", "eastmark-1", "eastmark-2")
	t.Logf("%d B without, %d B with five data centres", empty, five)
	is.True(empty <= 30)
	is.True(five <= 150)
}
