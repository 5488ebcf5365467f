package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against more resends of the fleet than the budget allows in any window,
// with instances that know nothing of each other and requests that come in bursts.
func TestFleetKeepsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := Params{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second}
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(params)
			budgets[i].SetInstances(n)
		}
		const step = 100 * time.Millisecond
		const steps = 400
		var requests, resends [steps]float64
		for k := range steps {
			now := core.Instant(time.Duration(k) * step)
			burst := rapid.IntRange(0, 12).Draw(t, "requests")
			for range burst {
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
				b.CountRequest(now, "s")
				requests[k]++
				for range 2 { // callers of Allow want more than they may have
					if b.Allow(now, "s") {
						resends[k]++
					}
				}
			}
		}
		const window = int(10 * time.Second / step)
		for end := window; end <= steps; end++ {
			sent := sum(resends[end-window : end])
			// The platform counts the requests of the window, the one before it or
			// the one half a window before it, whichever has most.
			own := sum(requests[end-window : end])
			before := sum(requests[max(0, end-2*window) : end-window])
			half := sum(requests[max(0, end-window-window/2) : end-window/2])
			if allowed := params.Ratio*max(own, before, half) + params.Allowance; sent > allowed {
				t.Fatalf("%v resends in the window that ends at step %d, allowed are %v", sent, end, allowed)
			}
		}
	})
}

// Guards against a budget that stays used up after its window.
func TestBudgetReturns(t *testing.T) {
	b := New(Params{Ratio: 0, Allowance: 4, Window: 10 * time.Second})
	for b.Allow(0, "s") {
	}
	if !b.Allow(core.Instant(12*time.Second), "s") {
		t.Fatal("the budget did not return after its window")
	}
}
