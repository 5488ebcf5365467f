package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// BenchmarkDecision measures the placement of one request among 1,300 Upstreams, which is the
// size that docs/CAPACITY.md is about, and its end.
func BenchmarkDecision(b *testing.B) {
	for _, kind := range []string{"model", "held_prefill", "plain"} {
		b.Run(kind, func(b *testing.B) {
			announcements := announce.New(core.InstanceRef{ID: "a"}, rand.New(rand.NewPCG(1, 1)))
			held := promptcache.New()
			d := New(Params{Rand: rand.New(rand.NewPCG(1, 1)), DataCentre: "dc-0", Announcements: announcements, HeldPrompts: held})
			var list []catalog.Upstream
			for i := range 1300 {
				up := catalog.Upstream{ID: core.UpstreamID(fmt.Sprintf("u-%04d", i)), Service: "s", DataCentre: core.DataCentreName(fmt.Sprintf("dc-%d", i%5)), Slots: 6}
				if kind != "plain" {
					up.Stage = catalog.StageDecode
					if i%4 == 0 {
						up.Stage = catalog.StagePrefill
					}
				}
				list = append(list, up)
			}
			now := core.Instant(time.Hour)
			d.SetEngineCapacity(map[core.ServiceName]EngineCapacity{"s": {Slots: 64, MemoryTokens: 76_562}})
			announcements.SetUpstreams(now, list)
			d.SetUpstreams(now, list)
			entry := &job{Job: Job{ID: "r", Service: "s", IsModelRequest: kind != "plain", MemoryTokens: 5000, PromptTokens: 5000,
				ArrivalTime: now, LatencyDeadline: now.Add(time.Second), Deadline: now.Add(10 * time.Second)}}
			job := &entry.Job
			if kind == "held_prefill" { // its prefixes have as many holders as are known of
				held.SetUpstreams(list)
				job.Prompt = held.Prompt("s", []promptcache.Part{{ID: "a", Tokens: 1000}, {ID: "b", Tokens: 1000}, {ID: "c", Tokens: 3000}}, 5000)
				for _, up := range list[:200] {
					held.OnPlaced(now, up.ID, job.Prompt, promptcache.Expectation{}, 5000)
				}
			}
			for b.Loop() {
				if kind == "held_prefill" {
					d.choosePrefill(now, entry)
					continue
				}
				d.Submit(now, *job)
				d.OnHoldGranted(now, job.ID)
				d.Release(now, job.ID)
			}
		})
	}
}

// BenchmarkQueue measures a request that arrives and leaves, and a placement round, while 2,000 requests
// of 100 accounts wait and all of 1,300 engines are full.
func BenchmarkQueue(b *testing.B) {
	d := New(Params{Rand: rand.New(rand.NewPCG(1, 1)), DataCentre: "dc-0"})
	var list []catalog.Upstream
	for i := range 1300 {
		stage := catalog.StageDecode
		if i%4 == 0 {
			stage = catalog.StagePrefill
		}
		list = append(list, catalog.Upstream{ID: core.UpstreamID(fmt.Sprintf("u-%04d", i)), Service: "s", DataCentre: "dc-0", Stage: stage})
	}
	now := core.Instant(time.Hour)
	d.SetEngineCapacity(map[core.ServiceName]EngineCapacity{"s": {Slots: 1, MemoryTokens: 20_000}})
	d.SetUpstreams(now, list)
	job := func(i int) Job {
		return Job{ID: core.RequestID(fmt.Sprint(i)), Service: "s", IsModelRequest: true, MemoryTokens: 2000 + i*7919%4000, PromptTokens: 2000 + i*7919%4000,
			Account: core.AccountID(fmt.Sprint(i % 100)), Weight: 1, Cost: 5000, ArrivalTime: now, LatencyDeadline: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
	}
	for i := range 975 + 2000 {
		d.Submit(now, job(i))
	}
	b.Run("submit", func(b *testing.B) {
		for b.Loop() {
			d.Submit(now, job(5000))
			d.Release(now, "5000")
		}
	})
	b.Run("round", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(20 * time.Millisecond)
			d.Tick(now)
		}
	})
	if d.QueueLength() != 2000 {
		b.Fatal(d.QueueLength())
	}
}
