package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fleet returns a topology of n engines in two DataCentres of one region, a third
// of them for prefill.
func fleet(n, slots int) Topology {
	s := Service{Name: "chat", Kind: KindModel, Models: []core.ModelName{"m"}}
	for i := range n {
		role := RoleDecode
		if i%3 == 0 {
			role = RolePrefill
		}
		s.Upstreams = append(s.Upstreams, Upstream{
			ID:         core.UpstreamID(fmt.Sprintf("%s-%04d", role, i)),
			Role:       role,
			DataCentre: core.DataCentreName([]string{"east", "west"}[i%2]),
			Slots:      slots,
		})
	}
	return Topology{
		DataCentres: []DataCentre{
			{Name: "east", Region: "r1", LinkMbps: 400_000},
			{Name: "west", Region: "r1", LinkMbps: 400_000},
		},
		Services: []Service{s},
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// BenchmarkDecision measures one placement with its release. The prompts share
// prefixes, and the load is about half of the slots.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{21, 210, 1300} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p := New(core.InstanceRef{ID: "i1", Incarnation: 1}, "east", Params{Rand: newRand(1)})
			top := fleet(n, 20)
			for i := range top.DataCentres {
				top.DataCentres[i].LinkMbps = 0 // two links are too slow for the largest fleet
			}
			p.SetTopology(0, top)
			live := n * 20 / 3
			ids := make([]core.RequestID, live)
			for i := range ids {
				ids[i] = core.RequestID(fmt.Sprintf("r%d", i))
			}
			now := core.Instant(0)
			// Half of the capacity of the prefill engines; jobs that have to wait for a
			// prefill engine are not placed.
			step := seconds(2 * 3000 / (float64(n) / 3 * 20_000))
			prefix := make([][]uint64, 64)
			for i := range prefix {
				prefix[i] = []uint64{1, uint64(i % 8), uint64(100 + i)}
			}
			placed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := ids[i%live]
				p.Release(now, id)
				now = now.Add(step)
				outputs := p.Submit(now, Job{
					ID: id, Account: "a", Service: "chat", Model: "m", Weight: 1,
					PromptTokens: 3000, MaxOutputTokens: 200, PrefixHashes: prefix[i%64], Deadline: now.Add(time.Minute),
				})
				if len(outputs) == 1 {
					if place, ok := outputs[0].(ModelPlacement); ok {
						placed++
						p.OnPrefillResult(now, place.Prefill, PrefillResult{ID: id, CachedTokens: 2048})
					}
				}
			}
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}
