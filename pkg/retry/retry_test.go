package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against more retries of the fleet than the budget allows in any window, with
// Instances that do not communicate and requests that arrive in bursts.
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
		var requests, retries [steps]float64
		for k := range steps {
			now := core.Instant(time.Duration(k) * step)
			burst := rapid.IntRange(0, 12).Draw(t, "requests")
			for range burst {
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
				b.CountRequest(now, "s")
				requests[k]++
				for range 2 { // more retries than the budget allows
					if b.Allow(now, "s") {
						retries[k]++
					}
				}
			}
		}
		const window = int(10 * time.Second / step)
		for end := window; end <= steps; end++ {
			sent := sum(retries[end-window : end])
			// The platform counts the requests of this window, of the previous one or of
			// the one half a window earlier, whichever has most.
			current := sum(requests[end-window : end])
			previous := sum(requests[max(0, end-2*window) : end-window])
			halfEarlier := sum(requests[max(0, end-window-window/2) : end-window/2])
			if allowed := params.Ratio*max(current, previous, halfEarlier) + params.Allowance; sent > allowed {
				t.Fatalf("%v retries in the window that ends at step %d, allowed are %v", sent, end, allowed)
			}
		}
	})
}

// Guards against a budget that stays exhausted after its window.
func TestBudgetRecovers(t *testing.T) {
	b := New(Params{Ratio: 0, Allowance: 4, Window: 10 * time.Second})
	for b.Allow(0, "s") {
	}
	if !b.Allow(core.Instant(12*time.Second), "s") {
		t.Fatal("the budget did not recover after its window")
	}
}
