package orders

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

type stored struct {
	version uint64
	value   []byte
}

type node struct {
	o      *Controller
	ref    core.InstanceRef
	rate   float64
	paused time.Duration
	cut    time.Duration // off from the store until
	wake   core.Instant
}

type engine struct {
	id     core.UpstreamID
	checks bool
	fence  core.FencingToken // of the last order executed
	state  State
}

// world runs holders against a store and engines in virtual time.
type world struct {
	t                                     interface{ Fatalf(string, ...any) }
	rng                                   *rand.Rand
	outage, slow, stale, lost, late, kill float64
	now                                   time.Duration
	queue                                 schedule.Queue[time.Duration, func()]
	history                               []stored
	nodes                                 []*node
	engines                               []*engine
	config                                core.Version
}

type source struct{ *rand.Rand }

func (s source) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func (w *world) restart(n *node) {
	n.ref.Incarnation++
	n.o = New(n.ref, Params{Random: source{w.rng}})
	n.wake = core.Never
	w.tell(n, 0)
}

func (w *world) after(d time.Duration, do func()) {
	w.queue.Add(w.now+d, do)
}

func (w *world) on(n *node, o *Controller, d time.Duration, do func(now core.Instant) []Output) {
	w.after(d, func() {
		switch {
		case n.o != o:
		case n.paused > w.now:
			w.on(n, o, n.paused-w.now, do)
		default:
			w.run(n, do(core.Instant(float64(w.now)*n.rate)))
		}
	})
}

func (w *world) run(n *node, outs []Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case ReadLease:
			w.read(n)
		case WriteLease:
			w.write(n, out)
		case Order:
			w.order(n, out)
		}
	}
	if wake := n.o.NextWake(); wake != n.wake {
		n.wake = wake
		delay := max(time.Duration(float64(wake)/n.rate)-w.now+1, 0)
		w.on(n, n.o, delay, func(now core.Instant) []Output { n.wake = core.Never; return n.o.Tick(now) })
	}
}

// tell gives the present configuration to a node.
func (w *world) tell(n *node, d time.Duration) {
	o, config := n.o, w.config
	var want []DesiredState
	for _, e := range w.engines {
		state := State{Model: "letra", Version: fmt.Sprint(config)}
		want = append(want, DesiredState{Upstream: e.id, State: state, ChecksFencing: e.checks})
	}
	w.on(n, o, d, func(now core.Instant) []Output { return o.SetDesired(now, config, want) })
	for _, e := range w.engines {
		w.on(n, o, d, func(now core.Instant) []Output { return o.OnServedState(now, e.id, e.state) })
	}
}

func (w *world) chance(rate float64) bool { return w.rng.Float64() < rate }

func (w *world) delay() time.Duration {
	d := time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
	if w.chance(w.slow) {
		d += time.Duration(w.rng.Int64N(int64(20 * time.Second)))
	}
	return d
}

func (w *world) reply(n *node, o *Controller, do func(core.Instant) []Output) {
	w.on(n, o, w.delay(), do)
	if w.chance(w.late) {
		w.on(n, o, time.Duration(w.rng.Int64N(int64(time.Minute))), do)
	}
}

func (w *world) read(n *node) {
	o := n.o
	w.after(w.delay(), func() {
		at := len(w.history) - 1
		if w.chance(w.stale) {
			at = w.rng.IntN(len(w.history)+1) - 1
		}
		if w.now < n.cut || w.chance(w.outage) {
			w.reply(n, o, o.OnLeaseReadFailed)
			return
		}
		got := stored{}
		if at >= 0 {
			got = w.history[at]
		}
		w.reply(n, o, func(now core.Instant) []Output { return o.OnLeaseRead(now, got.value, got.version, at >= 0) })
	})
}

func (w *world) write(n *node, q WriteLease) {
	o := n.o
	fail := func(why Failure) func(core.Instant) []Output {
		return func(now core.Instant) []Output { return o.OnLeaseWriteFailed(now, why) }
	}
	if w.now < n.cut || w.chance(w.outage) {
		w.reply(n, o, fail(Unavailable))
		return
	}
	transit := w.delay()
	late := w.chance(w.late)
	if late {
		transit += time.Duration(w.rng.Int64N(int64(20 * time.Second)))
		w.reply(n, o, fail(WriteOutcomeUnknown))
	}
	w.after(transit, func() {
		version := uint64(len(w.history))
		if version != q.Base {
			w.reply(n, o, fail(Conflict))
			return
		}
		w.history = append(w.history, stored{version + 1, q.Value})
		if !late && w.chance(w.lost) {
			w.reply(n, o, fail(WriteOutcomeUnknown))
			return
		}
		w.reply(n, o, func(now core.Instant) []Output { return o.OnLeaseWritten(now, version+1) })
	})
}

// order delivers an order at any time within its limit, sometimes twice or never.
func (w *world) order(n *node, q Order) {
	o := n.o
	held := time.Duration(0)
	if w.chance(0.2) {
		held = time.Duration(w.rng.Int64N(int64(40 * time.Second)))
	}
	w.on(n, o, held, func(now core.Instant) []Output {
		if now > q.NotAfter {
			return o.OnOrderResult(now, q.Upstream, Expired)
		}
		if w.chance(w.lost) {
			return nil
		}
		for range 1 + w.rng.IntN(2) {
			transit := time.Duration(w.rng.Int64N(int64(q.TimeLimit)))
			w.after(transit, func() { w.execute(n, o, q) })
		}
		return nil
	})
}

func (w *world) execute(n *node, o *Controller, q Order) {
	for _, e := range w.engines {
		if e.id != q.Upstream {
			continue
		}
		if e.checks && q.Fence < e.fence {
			w.on(n, o, 0, func(now core.Instant) []Output { return o.OnOrderResult(now, e.id, Stale) })
			return
		}
		if q.Fence < e.fence {
			w.t.Fatalf("%s executed an order of holder %d after one of holder %d at %v", e.id, q.Fence, e.fence, w.now)
		}
		if q.Fence > e.fence && version(q.State) < version(e.state) {
			w.t.Fatalf("holder %d took %s back from version %s to %s", q.Fence, e.id, e.state.Version, q.State.Version)
		}
		e.fence = q.Fence
		e.state = q.State
		w.on(n, o, w.delay(), func(now core.Instant) []Output { return o.OnOrderResult(now, e.id, Done) })
		for _, other := range w.nodes {
			w.on(other, other.o, time.Second, func(now core.Instant) []Output { return other.o.OnServedState(now, e.id, q.State) })
		}
	}
}

func version(s State) int {
	n, _ := strconv.Atoi(s.Version)
	return n
}

func (w *world) drive(until time.Duration) {
	for {
		do, at, due := w.queue.PopDue(until)
		if !due {
			break
		}
		w.now = at
		do()
	}
	w.now = until
}

// Guards against an engine that executes an order of an older holder after one of
// a newer holder, and against orders that never arrive once the faults have ended.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Most faults are off in a run: with all of them nobody holds the lease
		// for long enough to send orders.
		rate := func(name string) float64 { return float64(max(0, rapid.IntRange(-9, 5).Draw(t, name))) / 10 }
		w := &world{
			t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			outage: rate("outage"), slow: rate("slow"), stale: rate("stale"),
			lost: rate("lost"), late: rate("late"), kill: rate("kill"),
		}
		pause, cut := rate("pause"), rate("cut")
		w.engines = []*engine{{id: "checks", checks: true}, {id: "ignores"}}
		for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			n := &node{ref: core.InstanceRef{ID: core.InstanceID(fmt.Sprint("entry-", i))}, rate: 0.99 + 0.02*w.rng.Float64()}
			w.nodes = append(w.nodes, n)
			w.restart(n)
		}
		for at := 4 * time.Second; at < 10*time.Minute; at += 4 * time.Second {
			w.after(at, func() {
				n := w.nodes[w.rng.IntN(len(w.nodes))]
				if w.chance(0.1) {
					w.config++
				}
				for _, other := range w.nodes {
					most := 8 * time.Second
					if w.chance(w.slow) {
						most = 2 * time.Minute
					}
					w.tell(other, time.Duration(w.rng.Int64N(int64(most))))
				}
				// An engine that restarts needs its order again at any time.
				if w.chance(0.3) {
					w.engines[w.rng.IntN(2)].state.Model = ""
				}
				if w.chance(w.kill / 5) {
					w.restart(n)
				}
				if w.chance(cut / 2) {
					n.cut = w.now + time.Duration(w.rng.Int64N(int64(2*time.Minute)))
				}
				if w.chance(pause / 2) {
					n.paused = w.now + time.Duration(w.rng.Int64N(int64(2*time.Minute)))
				}
			})
		}
		w.drive(10 * time.Minute)
		w.outage, w.slow, w.stale, w.lost, w.late, w.kill = 0, 0, 0, 0, 0, 0
		w.drive(20 * time.Minute)
		for _, e := range w.engines {
			if want := fmt.Sprint(w.config); e.state.Version != want {
				t.Fatalf("%s has version %q 10 min after the faults, want %q", e.id, e.state.Version, want)
			}
		}
	})
}
