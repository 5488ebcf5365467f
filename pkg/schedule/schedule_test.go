package schedule

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against values that are returned early, late, or in an order that
// depends on the heap.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[time.Duration, int]
		times := rapid.SliceOf(rapid.Int64Range(0, 5)).Draw(t, "times")
		for i, at := range times {
			q.Add(time.Duration(at), i)
		}
		now := time.Duration(rapid.Int64Range(0, 6).Draw(t, "now"))
		var want, got []int
		for at := time.Duration(0); at <= now; at++ {
			for i := range times {
				if time.Duration(times[i]) == at {
					want = append(want, i)
				}
			}
		}
		for {
			value, at, due := q.PopDue(now)
			if !due {
				break
			}
			if time.Duration(times[value]) != at {
				t.Fatalf("value %d came with time %s", value, at)
			}
			got = append(got, value)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if next, left := q.NextTime(); left && next <= now || q.Len() != len(times)-len(got) {
			t.Fatalf("next %s, %d left", next, q.Len())
		}
	})
}
