package fairqueue

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func entry(account core.AccountID, weight float64, cost int64) *Entry[int] {
	return &Entry[int]{Account: account, Weight: weight, Cost: cost}
}

// order returns the waiting entries in the order of a round.
func order(q *Queue[int]) (list []*Entry[int]) {
	q.StartRound()
	for e := q.Next(); e != nil; e = q.Next() {
		list = append(list, e)
	}
	return list
}

// placeFirst places the first entry of the queue.
func placeFirst(now core.Instant, q *Queue[int]) *Entry[int] {
	q.StartRound()
	e := q.Next()
	q.Place(now, e)
	return e
}

// Guards against an order for one account and one urgency that is not retries first, then arrival, and
// against entries that a round leaves out or returns twice while others are removed, placed and returned.
func TestOneAccountIsServedByArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var want, placed []*Entry[int]
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind < 3:
				e := entry("a", 1, rapid.Int64Range(-1, 9).Draw(t, "cost"))
				e.IsRetry, e.ArrivalTime, e.Value = rapid.Bool().Draw(t, "retry"), core.Instant(rapid.IntRange(0, 9).Draw(t, "arrival")), step
				q.Add(0, e)
				want = append(want, e)
			case kind == 3 && len(placed) > 0:
				q.Return(placed[0])
				want, placed = append(want, placed[0]), placed[1:]
			case kind == 4:
				chosen := rapid.IntRange(0, 3).Draw(t, "chosen")
				q.StartRound()
				for e := q.Next(); e != nil; e = q.Next() {
					if e.Value%4 != chosen {
						continue
					}
					if rapid.Bool().Draw(t, "place") {
						q.Place(0, e)
						placed = append(placed, e)
					} else {
						q.Remove(e)
					}
					want = slices.DeleteFunc(want, func(other *Entry[int]) bool { return other == e })
				}
			}
			slices.SortStableFunc(want, func(a, b *Entry[int]) int {
				if a.IsRetry != b.IsRetry {
					if a.IsRetry {
						return -1
					}
					return 1
				}
				return int(a.ArrivalTime - b.ArrivalTime)
			})
			if got := order(&q); !slices.Equal(got, want) || q.Len() != len(want) {
				t.Fatalf("order %v, want %v", got, want)
			}
		}
	})
}

// Guards against shares that differ from the weights while accounts with requests of different size
// always have some waiting, and against a missing weight that starves or favours its account.
func TestSharesFollowTheWeights(t *testing.T) {
	var q Queue[int]
	weights := map[core.AccountID]float64{"large": 60_000, "small": 20_000, "none": 0, "odd": math.NaN()}
	costs := map[core.AccountID]int64{"large": 7000, "small": 300, "none": 2000, "odd": 2000}
	served := map[core.AccountID]float64{}
	for id, weight := range weights {
		for range 20 {
			q.Add(0, entry(id, weight, costs[id]))
		}
	}
	for range 20_000 {
		e := placeFirst(0, &q)
		served[e.Account] += float64(e.Cost)
		q.Add(0, entry(e.Account, weights[e.Account], e.Cost))
	}
	for id, want := range map[core.AccountID]float64{"large": 3, "none": 1, "odd": 1} {
		if ratio := served[id] / served["small"]; math.Abs(ratio-want) > 0.05*want {
			t.Errorf("%s was served %.2f times as much as small, want %.2f", id, ratio, want)
		}
	}
}

// Guards against a new account that waits behind the backlogs of others, which virtual time allows if
// it jumps when a small request is placed past large ones.
func TestNewAccountPrecedesBacklogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		served := map[core.AccountID]int64{}
		for i := range rapid.IntRange(1, 5).Draw(t, "accounts") {
			for range 50 {
				q.Add(0, entry(core.AccountID(fmt.Sprint(i)), 1, rapid.Int64Range(1, 20).Draw(t, "cost")))
			}
		}
		most := core.AccountID("0")
		for range rapid.IntRange(0, 40).Draw(t, "placements") {
			list := order(&q)
			e := list[rapid.IntRange(0, len(list)-1).Draw(t, "placed")]
			q.Place(0, e)
			served[e.Account] += e.Cost
			if served[e.Account] > served[most] {
				most = e.Account
			}
		}
		newest := entry("new", 1, 5)
		newest.ArrivalTime = 1
		q.Add(0, newest)
		list := order(&q)
		ahead := 0
		for _, e := range list[:slices.Index(list, newest)] {
			if e.Account == most {
				ahead++
			}
		}
		if ahead > 1 {
			t.Fatalf("%d requests of the account that was served most precede that of the new account", ahead)
		}
	})
}

// Guards against a hold that an engine has refused and that counts as a placement.
func TestReturnedPlacementKeepsItsTurn(t *testing.T) {
	var q Queue[int]
	for i := range 6 {
		e := entry(core.AccountID(fmt.Sprint(i%2)), 1, 1000)
		e.ArrivalTime = core.Instant(i)
		q.Add(0, e)
	}
	first := placeFirst(0, &q)
	q.Return(first)
	if got := order(&q)[0]; got != first {
		t.Errorf("%v is first, want %v", got, first)
	}
}

// Guards against a less urgent kind that is starved at an Instance with few placements, where each of its
// requests is refused for those ahead of it before it has any credit.
func TestGuaranteeAtFewPlacements(t *testing.T) {
	var q Queue[int]
	var urgent, routine, routineArrived int
	for i := range 20_000 {
		now := core.Instant(i) * core.Instant(100*time.Millisecond)
		q.Add(now, entry("a", 1, 1))
		if i%10 == 0 {
			e := entry("a", 1, 1)
			e.Urgency, e.ArrivalTime = 2, now
			q.Add(now, e)
			routineArrived++
		}
		place := i%2 == 0 // half of the requests find a place
		q.StartRound()
		for e := q.Next(); e != nil; e = q.Next() {
			switch {
			case place && e.Urgency == 0:
				urgent, place = urgent+1, false
				q.Place(now, e)
			case place:
				routine, place = routine+1, false
				q.Place(now, e)
			case q.Ahead(now) > 8:
				q.Remove(e)
			}
		}
	}
	share := float64(routineArrived) / 22_000
	if got := float64(routine) / float64(urgent+routine); got < 0.3*share || got > 0.6*share {
		t.Errorf("the less urgent got %.4f of the placements and were %.4f of the arrivals", got, share)
	}
}

// Guards against a demand at the usual rate, or without others, that counts as far above the share, and
// against one at seven times the usual rate that does not.
func TestDemandFarAboveTheShare(t *testing.T) {
	var d Demand
	now := core.Instant(time.Hour)
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		d.Count(now, "hot", 4, 1)
		if i == 1000 && d.IsFarAbove(now, d.Of(now, "hot")) {
			t.Error("an account is far above its share although no other asks for anything")
		}
		if i > 1000 && i%7 == 0 {
			d.Count(now, "large", 4, 1)
			d.Count(now, "none", 0, 1000)
			d.Count(now, core.AccountID(fmt.Sprint("small ", i%4)), 1, 1)
		}
	}
	for id, want := range map[core.AccountID]bool{"hot": true, "large": false, "none": false, "small 0": false, "small 3": false} {
		if got := d.IsFarAbove(now, d.Of(now, id)); got != want {
			t.Errorf("%s is far above its share: %t, want %t", id, got, want)
		}
	}
	now = now.Add(2 * time.Minute)
	d.Count(now, "later", 1, 1)
	d.IsFarAbove(now, d.Of(now, "later"))
	if len(d.accounts) != 1 {
		t.Errorf("%d accounts are remembered", len(d.accounts))
	}
}
