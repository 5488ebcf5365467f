package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a window in which the regular and the extra tokens of all Instances together exceed the
// allowance and the tolerance, whatever arrives and however late reports are.
func TestToleranceKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Int64Range(1_000, 100_000).Draw(t, "rate"), Burst: rapid.Int64Range(1_000, 200_000).Draw(t, "burst")}
		tolerance := Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000, Part: 0.5}
		allowed := 1.1*(8*float64(limit.Rate)+float64(limit.Burst)) + tolerance.Slack
		lag := rapid.IntRange(1, 5).Draw(t, "report lag, 100 ms")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var instances []*Quota[core.AccountID]
		for _, id := range []string{"a", "b", "c", "d"} {
			q := New[core.AccountID](ref(id, 1), r)
			q.SetTolerance(at(0), tolerance)
			q.SetLimit(at(0), customer, limit)
			instances = append(instances, q)
		}
		used := map[int]int64{} // by tenth of a second
		load := 1.0
		for step := range 600 {
			now := at(time.Duration(step) * 100 * time.Millisecond)
			if step%40 == 0 {
				load = rapid.Float64Range(0, 6).Draw(t, "load")
			}
			for i, q := range instances {
				if step%lag == i%lag {
					for _, other := range instances {
						if other != q {
							q.OnPeerReports(now, other.self, other.Reports(now))
						}
					}
				}
			}
			for asked := load * float64(limit.Rate) / 10; asked > 0; {
				tokens := 200 + r.Int64N(12_000)
				asked -= float64(tokens)
				q := instances[r.IntN(len(instances))]
				admitted, _ := q.Admit(now, customer, tokens)
				if admitted || q.AdmitWithinTolerance(now, customer, tokens) {
					used[step] += tokens
				}
			}
			sum := int64(0)
			for s := step - 79; s <= step; s++ {
				sum += used[s]
			}
			if float64(sum) > allowed {
				t.Fatalf("%d tokens in a window, allowed are %.0f", sum, allowed)
			}
		}
	})
}
