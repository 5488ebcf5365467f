package claims

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scenario holds the faults of one simulation. Rates are per store call or per
// second.
type scenario struct {
	seed                                   uint64
	nodes, keys, requests                  int
	span                                   time.Duration
	outage, slow, stale, lost, late, twice float64
	kill, pause, notRun                    float64
	retention                              time.Duration
	untimed                                bool // keys without a time
}

type failer interface{ Fatalf(string, ...any) }

type stored struct {
	version uint64
	value   []byte
}

// node is one Instance with its own clocks.
type node struct {
	c           *Claims
	ref         core.InstanceRef
	rate        float64
	skew        time.Duration
	pausedUntil time.Duration
	writing     map[int]bool
	wake        core.Instant
}

// simulation runs Instances against a store in virtual time and checks the
// guarantees of the package.
type simulation struct {
	t          failer
	scenario   scenario
	rng        *rand.Rand
	now        time.Duration
	queue      schedule.Queue[time.Duration, func()]
	history    map[int][]stored
	version    uint64
	nodes      []*node
	faultsOff  bool
	nextID     int
	keyOf      map[core.RequestID]string
	bodyOf     map[core.RequestID]Digest
	deadlines  map[core.RequestID]core.Instant
	results    map[core.RequestID]string
	dispatched map[string]core.RequestID
	outcomes   map[core.RequestID]Outcome
	writes     int
	confirmed  int
}

func newSimulation(t failer, p scenario) *simulation {
	sim := &simulation{
		t: t, scenario: p, rng: rand.New(rand.NewPCG(p.seed, 1)),
		history: map[int][]stored{}, keyOf: map[core.RequestID]string{}, bodyOf: map[core.RequestID]Digest{},
		deadlines: map[core.RequestID]core.Instant{}, results: map[core.RequestID]string{},
		dispatched: map[string]core.RequestID{}, outcomes: map[core.RequestID]Outcome{},
	}
	for i := range p.nodes {
		n := &node{
			ref:  core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("entry-%d", i))},
			rate: 0.99 + 0.02*sim.rng.Float64(),
			skew: time.Duration(sim.rng.Int64N(int64(time.Second))) - time.Second/2,
		}
		sim.nodes = append(sim.nodes, n)
		sim.restart(n)
	}
	return sim
}

type source struct{ *rand.Rand }

func (s source) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func (sim *simulation) restart(n *node) {
	n.ref.Incarnation++
	n.writing = map[int]bool{}
	n.wake = core.Never
	n.c = New(n.ref, Params{
		Shards: 2, Retention: sim.scenario.retention, MaxClockSkew: time.Second, InProgressTimeout: 5 * time.Second,
		DeadlineMargin: 20 * time.Millisecond, StoreTimeout: time.Second, OutcomeBatchDelay: 50 * time.Millisecond,
		WriteInterval: 5 * time.Millisecond, WriteBurst: 4, MaxObjectBytes: 4000, Random: source{sim.rng},
	})
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.queue.Add(sim.now+d, do)
}

// runOn runs do in the process of the node after d, or after the node's pause, and
// not at all if the process has ended.
func (sim *simulation) runOn(n *node, d time.Duration, do func(now core.Instant) []Output) {
	sim.runOnProcess(n, n.c, d, do)
}

func (sim *simulation) runOnProcess(n *node, c *Claims, d time.Duration, do func(now core.Instant) []Output) {
	sim.schedule(d, func() {
		switch {
		case n.c != c:
		case n.pausedUntil > sim.now:
			sim.runOnProcess(n, c, n.pausedUntil-sim.now, do)
		default:
			outs := do(n.clock(sim.now))
			sim.apply(n, outs)
		}
	})
}

func (n *node) clock(now time.Duration) core.Instant { return core.Instant(float64(now) * n.rate) }

func (sim *simulation) apply(n *node, outs []Output) {
	now := n.clock(sim.now)
	for _, out := range outs {
		switch out := out.(type) {
		case ReadShard:
			sim.read(n, out)
		case WriteShard:
			sim.write(n, out)
		case ClaimConfirmed:
			sim.recordResult(now, out.ID, "confirmed")
			sim.confirmed++
			sim.dispatch(n, out)
		case RecordedOutcome:
			sim.recordResult(now, out.ID, "recorded")
			if got, ok := sim.outcomes[out.OriginalID]; !ok || got != out.Outcome {
				sim.t.Fatalf("%s got outcome %v of %s, which had %v", out.ID, out.Outcome, out.OriginalID, got)
			}
		case RequestRefused:
			sim.recordResult(now, out.ID, string(out.Refusal.Ran))
			if out.Refusal.Code == core.CodeClaimConflict && sim.bodyOf[out.ID] == sim.bodyOf[out.OriginalID] {
				sim.t.Fatalf("%s got a conflict with %s, which has the same body", out.ID, out.OriginalID)
			}
		}
	}
	if wake := n.c.NextWake(); wake != n.wake {
		n.wake = wake
		if wake != core.Never {
			delay := time.Duration(float64(wake)/n.rate) - sim.now + 1
			sim.runOn(n, max(delay, 0), func(now core.Instant) []Output { n.wake = core.Never; return n.c.Tick(now) })
		}
	}
}

func (sim *simulation) recordResult(now core.Instant, id core.RequestID, what string) {
	if earlier := sim.results[id]; earlier != "" {
		sim.t.Fatalf("%s got result %q and then %q", id, earlier, what)
	}
	sim.results[id] = what
	if now > sim.deadlines[id] && sim.scenario.pause == 0 {
		sim.t.Fatalf("%s got result %q after its deadline", id, what)
	}
	if sim.dispatched[sim.keyOf[id]] == id && what == string(core.NotRun) {
		sim.t.Fatalf("%s was refused as not run after it was dispatched", id)
	}
}

func (sim *simulation) chance(rate float64) bool { return !sim.faultsOff && sim.rng.Float64() < rate }

func (sim *simulation) delay() time.Duration {
	d := time.Duration(sim.rng.Int64N(int64(5 * time.Millisecond)))
	if sim.chance(sim.scenario.slow) {
		d += time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
	}
	return d
}

// reply delivers a reply, and sometimes again much later.
func (sim *simulation) reply(n *node, c *Claims, do func(core.Instant) []Output) {
	sim.runOnProcess(n, c, sim.delay(), do)
	if sim.chance(sim.scenario.twice) {
		sim.runOnProcess(n, c, time.Duration(sim.rng.Int64N(int64(4*time.Second))), do)
	}
}

func (sim *simulation) read(n *node, q ReadShard) {
	c := n.c
	fail := func(now core.Instant) []Output { return n.c.OnReadFailed(now, q.Shard) }
	sim.schedule(sim.delay(), func() {
		past := sim.history[q.Shard]
		if sim.chance(sim.scenario.outage) {
			sim.reply(n, c, fail)
			return
		}
		at := len(past) - 1
		if sim.chance(sim.scenario.stale) {
			at = sim.rng.IntN(len(past)+1) - 1
		}
		got := stored{}
		if at >= 0 {
			got = past[at]
		}
		sim.reply(n, c, func(now core.Instant) []Output {
			return n.c.OnRead(now, q.Shard, got.value, got.version, at >= 0)
		})
	})
}

func (sim *simulation) write(n *node, q WriteShard) {
	c := n.c
	if n.writing[q.Shard] && sim.scenario.pause == 0 && sim.scenario.slow == 0 {
		sim.t.Fatalf("two writes of shard %d are in flight", q.Shard)
	}
	if len(q.Object) > 4000 {
		sim.t.Fatalf("object of %d bytes", len(q.Object))
	}
	n.writing[q.Shard] = true
	sim.writes++
	fail := func(why WriteFailure) func(now core.Instant) []Output {
		return func(now core.Instant) []Output {
			n.writing[q.Shard] = false
			return n.c.OnWriteFailed(now, q.Shard, why)
		}
	}
	if sim.chance(sim.scenario.outage) {
		sim.reply(n, c, fail(StoreUnavailable))
		return
	}
	late := sim.chance(sim.scenario.late)
	transit := sim.delay()
	if late {
		// The client times out before the write reaches the store.
		transit += time.Duration(sim.rng.Int64N(int64(2 * time.Second)))
		sim.reply(n, c, fail(ReplyLost))
	}
	sim.schedule(transit, func() {
		past := sim.history[q.Shard]
		current := uint64(0)
		if len(past) > 0 {
			current = past[len(past)-1].version
		}
		if current != q.BaseVersion {
			sim.reply(n, c, fail(WriteConflict))
			return
		}
		sim.version++
		version := sim.version
		sim.history[q.Shard] = append(past, stored{version, q.Object})
		if !late && sim.chance(sim.scenario.lost) {
			sim.reply(n, c, fail(ReplyLost))
			if sim.rng.IntN(2) == 0 {
				return
			}
		}
		sim.reply(n, c, func(now core.Instant) []Output {
			n.writing[q.Shard] = false
			return n.c.OnWritten(now, q.Shard, version)
		})
	})
}

// dispatch handles a confirmed claim as the router does.
func (sim *simulation) dispatch(n *node, out ClaimConfirmed) {
	wait := time.Duration(sim.rng.Int64N(int64(time.Second)))
	refuse := sim.chance(sim.scenario.notRun)
	sim.runOn(n, wait, func(now core.Instant) []Output {
		if refuse || now > out.NotAfter {
			return n.c.Finish(now, out.ID, Outcome{Ran: core.NotRun})
		}
		key := sim.keyOf[out.ID]
		if first, found := sim.dispatched[key]; found {
			sim.t.Fatalf("key %s was dispatched for %s and again for %s at %v", key, first, out.ID, sim.now)
		}
		sim.dispatched[key] = out.ID
		sim.runOn(n, time.Duration(sim.rng.Int64N(int64(time.Second))), func(now core.Instant) []Output {
			outcome := Outcome{Status: 200 + sim.rng.IntN(300), Ran: core.MayHaveRun}
			sim.outcomes[out.ID] = outcome
			return n.c.Finish(now, out.ID, outcome)
		})
		return nil
	})
}

func (sim *simulation) key() string {
	at := epoch.Add(sim.now)
	if sim.scenario.untimed {
		return fmt.Sprintf("order-%d", sim.rng.Uint64())
	}
	var u uuid.UUID
	for i := range u {
		u[i] = byte(sim.rng.Uint32())
	}
	for i := range 6 {
		u[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

func (sim *simulation) send(n *node, key string, deadline time.Duration) core.RequestID {
	sim.nextID++
	id := core.RequestID(fmt.Sprintf("request-%d", sim.nextID))
	sim.keyOf[id] = key
	if sim.chance(0.1) {
		sim.bodyOf[id] = Digest{1}
	}
	sim.runOn(n, 0, func(now core.Instant) []Output {
		sim.deadlines[id] = now.Add(deadline)
		return n.c.Claim(now, Request{
			ID: id, Account: "acme", IdempotencyKey: key, BodyDigest: sim.bodyOf[id], Deadline: now.Add(deadline), WallTime: epoch.Add(sim.now + n.skew),
		})
	})
	return id
}

// runUntil runs the events that are due by a time.
func (sim *simulation) runUntil(until time.Duration) {
	for {
		do, at, due := sim.queue.PopDue(until)
		if !due {
			break
		}
		sim.now = at
		do()
	}
	sim.now = until
}

// injectFaults sends each key several times, sometimes at several Instances at the
// same time, while Instances are killed and paused.
func (sim *simulation) injectFaults() {
	for range sim.scenario.keys {
		sim.schedule(time.Duration(sim.rng.Int64N(int64(sim.scenario.span))), func() {
			key := sim.key()
			for range 1 + sim.rng.IntN(sim.scenario.requests) {
				// Half of the duplicates are sent immediately, the others within
				// the span.
				delay := time.Duration(sim.rng.IntN(2)) * time.Duration(sim.rng.Int64N(int64(sim.scenario.span)))
				n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
				limit := 50*time.Millisecond + time.Duration(sim.rng.Int64N(int64(3*time.Second)))
				sim.schedule(delay, func() { sim.send(n, key, limit) })
			}
		})
	}
	for at := time.Duration(0); at < sim.scenario.span; at += time.Second {
		sim.schedule(at, func() {
			n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
			if sim.chance(sim.scenario.kill) {
				dead := n.ref
				sim.restart(n)
				for _, other := range sim.nodes {
					sim.runOn(other, time.Second, func(core.Instant) []Output { other.c.OnIncarnationDead(dead); return nil })
				}
			}
			if sim.chance(sim.scenario.pause) {
				n.pausedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(20*time.Second)))
				if sim.rng.IntN(2) == 0 {
					sim.runOn(n, 0, func(now core.Instant) []Output { n.ref.Incarnation++; return n.c.ChangeIncarnation(now, n.ref) })
				}
			}
		})
	}
	sim.runUntil(2*sim.scenario.span + 30*time.Second)
}

// recoverAndCheck ends the faults, waits until full shards may be cleaned, and
// checks that every Instance confirms a new key.
func (sim *simulation) recoverAndCheck() {
	sim.faultsOff = true
	sim.runUntil(sim.now + sim.scenario.retention + 30*time.Second)
	for _, n := range sim.nodes {
		id := sim.send(n, sim.key(), 2*time.Second)
		sim.runUntil(sim.now + 5*time.Second)
		if sim.results[id] != "confirmed" {
			sim.t.Fatalf("a claim without faults at %s got result %q", n.ref, sim.results[id])
		}
	}
}
