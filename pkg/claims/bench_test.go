package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fullObject returns an object that is as large as the store allows.
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

// BenchmarkClaim measures one claim from Claim to Finish at one Instance, with a
// store that takes 5 ms, at several rates of arrival in virtual time.
func BenchmarkClaim(b *testing.B) {
	for _, perSecond := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(perSecond, "/s"), func(b *testing.B) {
			w := &benchSimulation{c: New(core.InstanceRef{ID: "entry-1"}, Params{Random: source{rand.New(rand.NewPCG(1, 1))}})}
			w.objects = make([]stored, 16)
			gap := time.Second / time.Duration(perSecond)
			n := 0
			for b.Loop() {
				n++
				w.runUntil(core.Instant(n) * core.Instant(gap))
				var u uuid.UUID
				_, _ = source{w.c.jitter}.Read(u[:])
				u[6] = 0x40 // version 4: the key has no time
				w.apply(w.c.Claim(w.now, Request{
					ID: core.RequestID(u.String()), IdempotencyKey: u.String(), Deadline: w.now.Add(5 * time.Second),
					WallTime: epoch.Add(time.Duration(w.now)),
				}))
			}
			b.ReportMetric(float64(n)/float64(max(w.writes, 1)), "claims/write")
			b.ReportMetric(float64(w.writes)/time.Duration(w.now).Seconds(), "writes/s")
			b.ReportMetric(float64(w.bytes)/float64(n), "written-bytes/claim")
			b.ReportMetric(float64(w.confirmed)/float64(n), "confirmed")
			b.ReportMetric(float64(w.waited.Milliseconds())/float64(max(w.confirmed, 1)), "ms-wait")
		})
	}
}

// benchSimulation is a store that answers every call after 5 ms.
type benchSimulation struct {
	c                        *Claims
	now                      core.Instant
	queue                    []func() []Output
	due                      []core.Instant
	objects                  []stored
	writes, confirmed, bytes int
	waited                   time.Duration
}

func (w *benchSimulation) runUntil(until core.Instant) {
	for {
		next := w.c.NextWake()
		if len(w.due) > 0 && w.due[0] <= next {
			next = w.due[0]
		}
		if next > until {
			w.now = until
			return
		}
		w.now = max(w.now, next)
		if len(w.due) > 0 && w.due[0] <= w.now {
			do := w.queue[0]
			w.queue, w.due = w.queue[1:], w.due[1:]
			w.apply(do())
			continue
		}
		w.apply(w.c.Tick(w.now))
	}
}

func (w *benchSimulation) reply(do func() []Output) {
	w.queue = append(w.queue, do)
	w.due = append(w.due, w.now.Add(5*time.Millisecond))
}

func (w *benchSimulation) apply(outs []Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case ReadShard:
			o := w.objects[out.Shard]
			w.reply(func() []Output { return w.c.OnRead(w.now, out.Shard, o.value, o.version, o.version > 0) })
		case WriteShard:
			w.writes++
			w.bytes += len(out.Object)
			w.objects[out.Shard] = stored{out.BaseVersion + 1, out.Object}
			w.reply(func() []Output { return w.c.OnWritten(w.now, out.Shard, out.BaseVersion+1) })
		case ClaimConfirmed:
			w.confirmed++
			w.waited += w.now.Sub(w.c.requests[out.ID].arrivedAt)
			w.apply(w.c.Finish(w.now, out.ID, Outcome{Status: 200, Ran: core.MayHaveRun}))
		}
	}
}
