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

// scenario holds the faults of one run. Rates are per store call or per second.
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
	c       *Claims
	ref     core.InstanceRef
	rate    float64
	skew    time.Duration
	paused  time.Duration // until
	writing map[int]bool
	wake    core.Instant
}

// simulation runs Instances against a store in virtual time and checks the promises.
type simulation struct {
	t          failer
	scenario   scenario
	rng        *rand.Rand
	now        time.Duration
	queue      schedule.Queue[time.Duration, func()]
	history    map[int][]stored
	version    uint64
	nodes      []*node
	faultsOff  bool // no faults
	nextID     int
	keyOf      map[core.RequestID]string
	bodyOf     map[core.RequestID]Digest
	deadlines  map[core.RequestID]core.Instant
	answered   map[core.RequestID]string
	dispatched map[string]core.RequestID
	outcomes   map[core.RequestID]Outcome
	writes     int
	confirmed  int
}

func newSimulation(t failer, p scenario) *simulation {
	w := &simulation{
		t: t, scenario: p, rng: rand.New(rand.NewPCG(p.seed, 1)),
		history: map[int][]stored{}, keyOf: map[core.RequestID]string{}, bodyOf: map[core.RequestID]Digest{},
		deadlines: map[core.RequestID]core.Instant{}, answered: map[core.RequestID]string{},
		dispatched: map[string]core.RequestID{}, outcomes: map[core.RequestID]Outcome{},
	}
	for i := range p.nodes {
		n := &node{
			ref:  core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("entry-%d", i))},
			rate: 0.99 + 0.02*w.rng.Float64(),
			skew: time.Duration(w.rng.Int64N(int64(time.Second))) - time.Second/2,
		}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

type source struct{ *rand.Rand }

func (s source) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.Uint32())
	}
	return len(p), nil
}

func (w *simulation) restart(n *node) {
	n.ref.Incarnation++
	n.writing = map[int]bool{}
	n.wake = core.Never
	n.c = New(n.ref, Params{
		Shards: 2, Retention: w.scenario.retention, MaxClockSkew: time.Second, InProgressTimeout: 5 * time.Second,
		DeadlineMargin: 20 * time.Millisecond, StoreTimeout: time.Second, OutcomeBatchDelay: 50 * time.Millisecond,
		WriteInterval: 5 * time.Millisecond, WriteBurst: 4, MaxObjectBytes: 4000, Random: source{w.rng},
	})
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.queue.Add(w.now+d, do)
}

// runOn runs do at the node's process after d, later if it is paused then, and not
// at all if the process has ended.
func (w *simulation) runOn(n *node, d time.Duration, do func(now core.Instant) []Output) {
	w.runOnProcess(n, n.c, d, do)
}

func (w *simulation) runOnProcess(n *node, c *Claims, d time.Duration, do func(now core.Instant) []Output) {
	w.schedule(d, func() {
		switch {
		case n.c != c:
		case n.paused > w.now:
			w.runOnProcess(n, c, n.paused-w.now, do)
		default:
			outs := do(n.clock(w.now))
			w.apply(n, outs)
		}
	})
}

func (n *node) clock(now time.Duration) core.Instant { return core.Instant(float64(now) * n.rate) }

func (w *simulation) apply(n *node, outs []Output) {
	now := n.clock(w.now)
	for _, out := range outs {
		switch out := out.(type) {
		case ReadShard:
			w.read(n, out)
		case WriteShard:
			w.write(n, out)
		case ClaimConfirmed:
			w.recordAnswer(now, out.ID, "confirmed")
			w.confirmed++
			w.dispatch(n, out)
		case RecordedOutcome:
			w.recordAnswer(now, out.ID, "recorded")
			if got, ok := w.outcomes[out.OriginalID]; !ok || got != out.Outcome {
				w.t.Fatalf("%s got outcome %v of %s, which had %v", out.ID, out.Outcome, out.OriginalID, got)
			}
		case RequestRefused:
			w.recordAnswer(now, out.ID, string(out.Refusal.Ran))
			if out.Refusal.Code == core.CodeClaimConflict && w.bodyOf[out.ID] == w.bodyOf[out.OriginalID] {
				w.t.Fatalf("%s got a conflict with %s, which has the same body", out.ID, out.OriginalID)
			}
		}
	}
	if wake := n.c.NextWake(); wake != n.wake {
		n.wake = wake
		if wake != core.Never {
			delay := time.Duration(float64(wake)/n.rate) - w.now + 1
			w.runOn(n, max(delay, 0), func(now core.Instant) []Output { n.wake = core.Never; return n.c.Tick(now) })
		}
	}
}

func (w *simulation) recordAnswer(now core.Instant, id core.RequestID, what string) {
	if earlier := w.answered[id]; earlier != "" {
		w.t.Fatalf("%s was answered %q and then %q", id, earlier, what)
	}
	w.answered[id] = what
	if now > w.deadlines[id] && w.scenario.pause == 0 {
		w.t.Fatalf("%s was answered %q after its deadline", id, what)
	}
	if w.dispatched[w.keyOf[id]] == id && what == string(core.NotRun) {
		w.t.Fatalf("%s was refused as not run after it was dispatched", id)
	}
}

func (w *simulation) chance(rate float64) bool { return !w.faultsOff && w.rng.Float64() < rate }

func (w *simulation) delay() time.Duration {
	d := time.Duration(w.rng.Int64N(int64(5 * time.Millisecond)))
	if w.chance(w.scenario.slow) {
		d += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return d
}

// reply delivers an answer, and sometimes again much later.
func (w *simulation) reply(n *node, c *Claims, do func(core.Instant) []Output) {
	w.runOnProcess(n, c, w.delay(), do)
	if w.chance(w.scenario.twice) {
		w.runOnProcess(n, c, time.Duration(w.rng.Int64N(int64(4*time.Second))), do)
	}
}

func (w *simulation) read(n *node, q ReadShard) {
	c := n.c
	fail := func(now core.Instant) []Output { return n.c.OnReadFailed(now, q.Shard) }
	w.schedule(w.delay(), func() {
		past := w.history[q.Shard]
		if w.chance(w.scenario.outage) {
			w.reply(n, c, fail)
			return
		}
		at := len(past) - 1
		if w.chance(w.scenario.stale) {
			at = w.rng.IntN(len(past)+1) - 1
		}
		got := stored{}
		if at >= 0 {
			got = past[at]
		}
		w.reply(n, c, func(now core.Instant) []Output {
			return n.c.OnRead(now, q.Shard, got.value, got.version, at >= 0)
		})
	})
}

func (w *simulation) write(n *node, q WriteShard) {
	c := n.c
	if n.writing[q.Shard] && w.scenario.pause == 0 && w.scenario.slow == 0 {
		w.t.Fatalf("two writes of shard %d are in flight", q.Shard)
	}
	if len(q.Object) > 4000 {
		w.t.Fatalf("object of %d bytes", len(q.Object))
	}
	n.writing[q.Shard] = true
	w.writes++
	fail := func(why WriteFailure) func(now core.Instant) []Output {
		return func(now core.Instant) []Output {
			n.writing[q.Shard] = false
			return n.c.OnWriteFailed(now, q.Shard, why)
		}
	}
	if w.chance(w.scenario.outage) {
		w.reply(n, c, fail(StoreUnavailable))
		return
	}
	late := w.chance(w.scenario.late)
	transit := w.delay()
	if late {
		// The client gives up before the write reaches the store.
		transit += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
		w.reply(n, c, fail(ReplyLost))
	}
	w.schedule(transit, func() {
		past := w.history[q.Shard]
		current := uint64(0)
		if len(past) > 0 {
			current = past[len(past)-1].version
		}
		if current != q.BaseVersion {
			w.reply(n, c, fail(WriteConflict))
			return
		}
		w.version++
		version := w.version
		w.history[q.Shard] = append(past, stored{version, q.Object})
		if !late && w.chance(w.scenario.lost) {
			w.reply(n, c, fail(ReplyLost))
			if w.rng.IntN(2) == 0 {
				return
			}
		}
		w.reply(n, c, func(now core.Instant) []Output {
			n.writing[q.Shard] = false
			return n.c.OnWritten(now, q.Shard, version)
		})
	})
}

// dispatch does what the router does with a confirmed claim.
func (w *simulation) dispatch(n *node, out ClaimConfirmed) {
	wait := time.Duration(w.rng.Int64N(int64(time.Second)))
	refuse := w.chance(w.scenario.notRun)
	w.runOn(n, wait, func(now core.Instant) []Output {
		if refuse || now > out.NotAfter {
			return n.c.Finish(now, out.ID, Outcome{Ran: core.NotRun})
		}
		key := w.keyOf[out.ID]
		if first, found := w.dispatched[key]; found {
			w.t.Fatalf("key %s was dispatched for %s and again for %s at %v", key, first, out.ID, w.now)
		}
		w.dispatched[key] = out.ID
		w.runOn(n, time.Duration(w.rng.Int64N(int64(time.Second))), func(now core.Instant) []Output {
			outcome := Outcome{Status: 200 + w.rng.IntN(300), Ran: core.MayHaveRun}
			w.outcomes[out.ID] = outcome
			return n.c.Finish(now, out.ID, outcome)
		})
		return nil
	})
}

func (w *simulation) key() string {
	at := epoch.Add(w.now)
	if w.scenario.untimed {
		return fmt.Sprintf("order-%d", w.rng.Uint64())
	}
	var u uuid.UUID
	for i := range u {
		u[i] = byte(w.rng.Uint32())
	}
	for i := range 6 {
		u[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

func (w *simulation) send(n *node, key string, deadline time.Duration) core.RequestID {
	w.nextID++
	id := core.RequestID(fmt.Sprintf("request-%d", w.nextID))
	w.keyOf[id] = key
	if w.chance(0.1) {
		w.bodyOf[id] = Digest{1}
	}
	w.runOn(n, 0, func(now core.Instant) []Output {
		w.deadlines[id] = now.Add(deadline)
		return n.c.Claim(now, Request{
			ID: id, Account: "acme", IdempotencyKey: key, BodyDigest: w.bodyOf[id], Deadline: now.Add(deadline), WallTime: epoch.Add(w.now + n.skew),
		})
	})
	return id
}

// runUntil runs the events until a time.
func (w *simulation) runUntil(until time.Duration) {
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

// injectFaults sends each key several times, some at once at several Instances, while
// Instances are killed and paused.
func (w *simulation) injectFaults() {
	for range w.scenario.keys {
		w.schedule(time.Duration(w.rng.Int64N(int64(w.scenario.span))), func() {
			key := w.key()
			for range 1 + w.rng.IntN(w.scenario.requests) {
				// Half of the sends come at once, the others up to the span later.
				delay := time.Duration(w.rng.IntN(2)) * time.Duration(w.rng.Int64N(int64(w.scenario.span)))
				n := w.nodes[w.rng.IntN(len(w.nodes))]
				limit := 50*time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Second)))
				w.schedule(delay, func() { w.send(n, key, limit) })
			}
		})
	}
	for at := time.Duration(0); at < w.scenario.span; at += time.Second {
		w.schedule(at, func() {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			if w.chance(w.scenario.kill) {
				dead := n.ref
				w.restart(n)
				for _, other := range w.nodes {
					w.runOn(other, time.Second, func(core.Instant) []Output { other.c.OnIncarnationDead(dead); return nil })
				}
			}
			if w.chance(w.scenario.pause) {
				n.paused = w.now + time.Duration(w.rng.Int64N(int64(20*time.Second)))
				if w.rng.IntN(2) == 0 {
					w.runOn(n, 0, func(now core.Instant) []Output { n.ref.Incarnation++; return n.c.ChangeIncarnation(now, n.ref) })
				}
			}
		})
	}
	w.runUntil(2*w.scenario.span + 30*time.Second)
}

// recoverAndCheck ends the faults, waits until full shards may be cleaned, and checks that
// every Instance confirms a new key.
func (w *simulation) recoverAndCheck() {
	w.faultsOff = true
	w.runUntil(w.now + w.scenario.retention + 30*time.Second)
	for _, n := range w.nodes {
		id := w.send(n, w.key(), 2*time.Second)
		w.runUntil(w.now + 5*time.Second)
		if w.answered[id] != "confirmed" {
			w.t.Fatalf("a claim without faults at %s was answered %q", n.ref, w.answered[id])
		}
	}
}
