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

type storedLease struct {
	version uint64
	value   []byte
}

type node struct {
	controller       *Controller
	ref              core.InstanceRef
	rate             float64
	pausedUntil      time.Duration
	partitionedUntil time.Duration // the store is unreachable until then
	wakeAt           core.Instant
}

type engine struct {
	id            core.UpstreamID
	checksFencing bool
	fence         core.FencingToken // of the last executed order
	state         State
}

// simulation runs holders against a store and engines in virtual time.
type simulation struct {
	t                               interface{ Fatalf(string, ...any) }
	rng                             *rand.Rand
	outageRate, slowRate, staleRate float64
	lostRate, lateRate, killRate    float64
	now                             time.Duration
	queue                           schedule.Queue[time.Duration, func()]
	history                         []storedLease
	nodes                           []*node
	engines                         []*engine
	config                          core.Version
}

type randomSource struct{ *rand.Rand }

func (s randomSource) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func (sim *simulation) restart(n *node) {
	n.ref.Incarnation++
	n.controller = New(n.ref, Params{Random: randomSource{sim.rng}})
	n.wakeAt = core.Never
	sim.sendConfig(n, 0)
}

// schedule runs fn after the delay.
func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.queue.Add(sim.now+d, fn)
}

// runOn runs fn on a node after the delay, or when its pause ends, and handles the
// Outputs. It does nothing if the node has restarted by then.
func (sim *simulation) runOn(n *node, c *Controller, d time.Duration, fn func(now core.Instant) []Output) {
	sim.schedule(d, func() {
		switch {
		case n.controller != c:
		case n.pausedUntil > sim.now:
			sim.runOn(n, c, n.pausedUntil-sim.now, fn)
		default:
			sim.handleOutputs(n, fn(core.Instant(float64(sim.now)*n.rate)))
		}
	})
}

func (sim *simulation) handleOutputs(n *node, outs []Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case ReadLease:
			sim.readLease(n)
		case WriteLease:
			sim.writeLease(n, out)
		case Order:
			sim.deliverOrder(n, out)
		}
	}
	if wake := n.controller.NextWake(); wake != n.wakeAt {
		n.wakeAt = wake
		delay := max(time.Duration(float64(wake)/n.rate)-sim.now+1, 0)
		sim.runOn(n, n.controller, delay, func(now core.Instant) []Output { n.wakeAt = core.Never; return n.controller.Tick(now) })
	}
}

// sendConfig delivers the current configuration and the Upstreams' reports to a node.
func (sim *simulation) sendConfig(n *node, d time.Duration) {
	c, config := n.controller, sim.config
	var desired []DesiredState
	for _, e := range sim.engines {
		state := State{Model: "letra", Version: fmt.Sprint(config)}
		desired = append(desired, DesiredState{Upstream: e.id, State: state, ChecksFencing: e.checksFencing})
	}
	sim.runOn(n, c, d, func(now core.Instant) []Output { return c.SetDesired(now, config, desired) })
	for _, e := range sim.engines {
		sim.runOn(n, c, d, func(now core.Instant) []Output { return c.OnServedState(now, e.id, e.state) })
	}
}

func (sim *simulation) chance(rate float64) bool { return sim.rng.Float64() < rate }

func (sim *simulation) delay() time.Duration {
	d := time.Duration(sim.rng.Int64N(int64(5 * time.Millisecond)))
	if sim.chance(sim.slowRate) {
		d += time.Duration(sim.rng.Int64N(int64(20 * time.Second)))
	}
	return d
}

// reply delivers a reply of the store, sometimes a second time much later.
func (sim *simulation) reply(n *node, c *Controller, fn func(core.Instant) []Output) {
	sim.runOn(n, c, sim.delay(), fn)
	if sim.chance(sim.lateRate) {
		sim.runOn(n, c, time.Duration(sim.rng.Int64N(int64(time.Minute))), fn)
	}
}

func (sim *simulation) readLease(n *node) {
	c := n.controller
	sim.schedule(sim.delay(), func() {
		at := len(sim.history) - 1
		if sim.chance(sim.staleRate) {
			at = sim.rng.IntN(len(sim.history)+1) - 1
		}
		if sim.now < n.partitionedUntil || sim.chance(sim.outageRate) {
			sim.reply(n, c, c.OnLeaseReadFailed)
			return
		}
		got := storedLease{}
		if at >= 0 {
			got = sim.history[at]
		}
		sim.reply(n, c, func(now core.Instant) []Output { return c.OnLeaseRead(now, got.value, got.version, at >= 0) })
	})
}

func (sim *simulation) writeLease(n *node, write WriteLease) {
	c := n.controller
	fail := func(failure Failure) func(core.Instant) []Output {
		return func(now core.Instant) []Output { return c.OnLeaseWriteFailed(now, failure) }
	}
	if sim.now < n.partitionedUntil || sim.chance(sim.outageRate) {
		sim.reply(n, c, fail(Unavailable))
		return
	}
	transit := sim.delay()
	late := sim.chance(sim.lateRate)
	if late {
		transit += time.Duration(sim.rng.Int64N(int64(20 * time.Second)))
		sim.reply(n, c, fail(WriteOutcomeUnknown))
	}
	sim.schedule(transit, func() {
		version := uint64(len(sim.history))
		if version != write.Base {
			sim.reply(n, c, fail(Conflict))
			return
		}
		sim.history = append(sim.history, storedLease{version + 1, write.Value})
		if !late && sim.chance(sim.lostRate) {
			sim.reply(n, c, fail(WriteOutcomeUnknown))
			return
		}
		sim.reply(n, c, func(now core.Instant) []Output { return c.OnLeaseWritten(now, version+1) })
	})
}

// deliverOrder delivers an order at any time within its limit, sometimes twice or never.
func (sim *simulation) deliverOrder(n *node, order Order) {
	c := n.controller
	sendDelay := time.Duration(0)
	if sim.chance(0.2) {
		sendDelay = time.Duration(sim.rng.Int64N(int64(40 * time.Second)))
	}
	sim.runOn(n, c, sendDelay, func(now core.Instant) []Output {
		if now > order.NotAfter {
			return c.OnOrderResult(now, order.Upstream, Expired)
		}
		if sim.chance(sim.lostRate) {
			return nil
		}
		for range 1 + sim.rng.IntN(2) {
			transit := time.Duration(sim.rng.Int64N(int64(order.TimeLimit)))
			sim.schedule(transit, func() { sim.executeOrder(n, c, order) })
		}
		return nil
	})
}

func (sim *simulation) executeOrder(n *node, c *Controller, order Order) {
	for _, e := range sim.engines {
		if e.id != order.Upstream {
			continue
		}
		if e.checksFencing && order.Fence < e.fence {
			sim.runOn(n, c, 0, func(now core.Instant) []Output { return c.OnOrderResult(now, e.id, Stale) })
			return
		}
		if order.Fence < e.fence {
			sim.t.Fatalf("%s executed an order of holder %d after one of holder %d at %v", e.id, order.Fence, e.fence, sim.now)
		}
		if order.Fence > e.fence && versionOf(order.State) < versionOf(e.state) {
			sim.t.Fatalf("holder %d returned %s from version %s to %s", order.Fence, e.id, e.state.Version, order.State.Version)
		}
		e.fence = order.Fence
		e.state = order.State
		sim.runOn(n, c, sim.delay(), func(now core.Instant) []Output { return c.OnOrderResult(now, e.id, Done) })
		for _, other := range sim.nodes {
			sim.runOn(other, other.controller, time.Second, func(now core.Instant) []Output { return other.controller.OnServedState(now, e.id, order.State) })
		}
	}
}

func versionOf(s State) int {
	n, _ := strconv.Atoi(s.Version)
	return n
}

func (sim *simulation) runUntil(until time.Duration) {
	for {
		fn, at, due := sim.queue.PopDue(until)
		if !due {
			break
		}
		sim.now = at
		fn()
	}
	sim.now = until
}

// Guards against an engine that executes an order of an older holder after one of a
// newer holder, and against orders that never arrive after the faults have ended.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Most faults are off in a simulation: with all of them, no Instance holds the
		// lease for long enough to send orders.
		rate := func(name string) float64 { return float64(max(0, rapid.IntRange(-9, 5).Draw(t, name))) / 10 }
		sim := &simulation{
			t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			outageRate: rate("outage"), slowRate: rate("slow"), staleRate: rate("stale"),
			lostRate: rate("lost"), lateRate: rate("late"), killRate: rate("kill"),
		}
		pauseRate, partitionRate := rate("pause"), rate("cut")
		sim.engines = []*engine{{id: "checks", checksFencing: true}, {id: "ignores"}}
		for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			n := &node{ref: core.InstanceRef{ID: core.InstanceID(fmt.Sprint("entry-", i))}, rate: 0.99 + 0.02*sim.rng.Float64()}
			sim.nodes = append(sim.nodes, n)
			sim.restart(n)
		}
		for at := 4 * time.Second; at < 10*time.Minute; at += 4 * time.Second {
			sim.schedule(at, func() {
				n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
				if sim.chance(0.1) {
					sim.config++
				}
				for _, other := range sim.nodes {
					maxDelay := 8 * time.Second
					if sim.chance(sim.slowRate) {
						maxDelay = 2 * time.Minute
					}
					sim.sendConfig(other, time.Duration(sim.rng.Int64N(int64(maxDelay))))
				}
				// An engine that restarts without a model needs its order again.
				if sim.chance(0.3) {
					sim.engines[sim.rng.IntN(2)].state.Model = ""
				}
				if sim.chance(sim.killRate / 5) {
					sim.restart(n)
				}
				if sim.chance(partitionRate / 2) {
					n.partitionedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(2*time.Minute)))
				}
				if sim.chance(pauseRate / 2) {
					n.pausedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(2*time.Minute)))
				}
			})
		}
		sim.runUntil(10 * time.Minute)
		sim.outageRate, sim.slowRate, sim.staleRate, sim.lostRate, sim.lateRate, sim.killRate = 0, 0, 0, 0, 0, 0
		sim.runUntil(20 * time.Minute)
		for _, e := range sim.engines {
			if want := fmt.Sprint(sim.config); e.state.Version != want {
				t.Fatalf("%s has version %q 10 min after the faults, want %q", e.id, e.state.Version, want)
			}
		}
	})
}
