package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fullObject returns an object of the maximum size that the store allows.
func fullObject() *object {
	rng := rand.New(rand.NewPCG(1, 1))
	o := newObject()
	var owners []int
	for i := range 8 {
		owners = append(owners, o.ownerIndex(core.InstanceRef{ID: core.InstanceID(fmt.Sprint("entry-", i)), Incarnation: 3}))
	}
	for o.size+claimMaxSize+16 <= 1_000_000 {
		var u uuid.UUID
		_, _ = source{rng}.Read(u[:])
		e := entry{
			retainFrom: 1_800_000_000 + rng.Int64N(900), owner: owners[rng.IntN(8)],
			request:    encodedRequestID{encoded: string(u[:]), isUUID: true},
			hasOutcome: true, outcome: Outcome{Status: 200, Ran: core.MayHaveRun},
		}
		_, _ = source{rng}.Read(e.key[:])
		o.append(e)
	}
	return o
}

func BenchmarkEncodeFullShard(b *testing.B) {
	o := fullObject()
	var data []byte
	for b.Loop() {
		data = o.encode(objectUpdate{})
	}
	b.ReportMetric(float64(len(data))/float64(len(o.entries)), "bytes/claim")
	b.ReportMetric(float64(len(o.entries)), "claims")
}

func BenchmarkDecodeFullShard(b *testing.B) {
	data := fullObject().encode(objectUpdate{})
	for b.Loop() {
		if _, err := decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaim measures a claim from Claim to Finish at one Instance at several
// arrival rates in virtual time. The store takes 5 ms for each call.
func BenchmarkClaim(b *testing.B) {
	for _, perSecond := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(perSecond, "/s"), func(b *testing.B) {
			sim := &benchSimulation{c: New(core.InstanceRef{ID: "entry-1"}, Params{Random: source{rand.New(rand.NewPCG(1, 1))}})}
			sim.objects = make([]stored, 16)
			gap := time.Second / time.Duration(perSecond)
			n := 0
			for b.Loop() {
				n++
				sim.runUntil(core.Instant(n) * core.Instant(gap))
				var u uuid.UUID
				_, _ = source{sim.c.jitter}.Read(u[:])
				u[6] = 0x40 // version 4: the key has no time
				sim.apply(sim.c.Claim(sim.now, Request{
					ID: core.RequestID(u.String()), IdempotencyKey: u.String(), Deadline: sim.now.Add(5 * time.Second),
					WallTime: epoch.Add(time.Duration(sim.now)),
				}))
			}
			b.ReportMetric(float64(n)/float64(max(sim.writes, 1)), "claims/write")
			b.ReportMetric(float64(sim.writes)/time.Duration(sim.now).Seconds(), "writes/s")
			b.ReportMetric(float64(sim.bytes)/float64(n), "written-bytes/claim")
			b.ReportMetric(float64(sim.confirmed)/float64(n), "confirmed")
			b.ReportMetric(float64(sim.waited.Milliseconds())/float64(max(sim.confirmed, 1)), "ms-wait")
		})
	}
}

// benchSimulation is a store that replies to every call after 5 ms.
type benchSimulation struct {
	c                        *Claims
	now                      core.Instant
	queue                    []func() []Output
	due                      []core.Instant
	objects                  []stored
	writes, confirmed, bytes int
	waited                   time.Duration
}

func (sim *benchSimulation) runUntil(until core.Instant) {
	for {
		next := sim.c.NextWake()
		if len(sim.due) > 0 && sim.due[0] <= next {
			next = sim.due[0]
		}
		if next > until {
			sim.now = until
			return
		}
		sim.now = max(sim.now, next)
		if len(sim.due) > 0 && sim.due[0] <= sim.now {
			do := sim.queue[0]
			sim.queue, sim.due = sim.queue[1:], sim.due[1:]
			sim.apply(do())
			continue
		}
		sim.apply(sim.c.Tick(sim.now))
	}
}

func (sim *benchSimulation) reply(do func() []Output) {
	sim.queue = append(sim.queue, do)
	sim.due = append(sim.due, sim.now.Add(5*time.Millisecond))
}

func (sim *benchSimulation) apply(outs []Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case ReadShard:
			o := sim.objects[out.Shard]
			sim.reply(func() []Output { return sim.c.OnRead(sim.now, out.Shard, o.value, o.version, o.version > 0) })
		case WriteShard:
			sim.writes++
			sim.bytes += len(out.Object)
			sim.objects[out.Shard] = stored{out.BaseVersion + 1, out.Object}
			sim.reply(func() []Output { return sim.c.OnWritten(sim.now, out.Shard, out.BaseVersion+1) })
		case ClaimConfirmed:
			sim.confirmed++
			sim.waited += sim.now.Sub(sim.c.requests[out.ID].arrivedAt)
			sim.apply(sim.c.Finish(sim.now, out.ID, Outcome{Status: 200, Ran: core.MayHaveRun}))
		}
	}
}
