package keys

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"pgregory.net/rapid"
)

// simulation runs several Checkers in virtual time against one store. Nodes 0 to 2 are
// in the store's region; 3 and 4 are in another one.
type simulation struct {
	f         fixture
	rng       *rand.Rand
	now       time.Duration
	faults    []fault
	version   int // index into f.snaps of the version in the store
	revokedAt []time.Duration
	// readAt is when an Instance of the store's region first read each revocation.
	// Before, in a store outage, nobody there can know of it.
	readAt   map[int]time.Duration
	nodes    []*node
	messages []message
}

type faultKind int

const (
	storeDown       faultKind = iota // no read or write succeeds
	storeSlow                        // reads take up to 4 s
	storeStale                       // reads return the state of up to 2 s ago
	storeCut                         // one node does not reach the store
	regionCut                        // no message or read crosses between the regions
	regionOneWayCut                  // nothing reaches the other region; the way back works
	messageLoss                      // one message in five is lost
	messageDelay                     // messages take up to 2 s, and overtake each other
)

type fault struct {
	kind     faultKind
	from, to time.Duration
	node     int
}

type node struct {
	id                          int
	rate                        float64 // of its clock
	offset                      time.Duration
	c                           *Checker
	snap, seen                  int           // indices into f.snaps
	activeAt                    time.Duration // when seen goes in force
	nextHeartbeatAt, nextReadAt time.Duration
	pendingRead                 *storeRead
	rootRequestedAt             time.Duration
	echoes                      map[int]echo
}

type storeRead struct {
	due     time.Duration
	sent    core.Instant
	version int
	fails   bool
}

// echo is what a heartbeat returns to its receiver: the stamp of the receiver's
// last heartbeat and the instant of its arrival.
type echo struct{ stamp, arrived core.Instant }

type message struct {
	from, to       int
	due, held, age time.Duration
	stamp, echoed  core.Instant
	hasEcho        bool
	version        core.Version
	root           int // index of the root that an answer carries, or -1
}

func (n *node) clock(t time.Duration) core.Instant {
	return core.Instant(n.offset) + core.Instant(float64(t)*n.rate)
}

var sharedFixture = newFixture()
var regions = []core.RegionName{"near", "near", "near", "far", "far"}

func newSimulation(seed uint64, faults []fault) *simulation {
	w := &simulation{f: sharedFixture, faults: faults, readAt: map[int]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range 5 {
		n := &node{id: i, rate: 0.99 + 0.02*w.rng.Float64(), echoes: map[int]echo{}}
		n.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
		n.c = New(Params{Region: regions[i], StoreRegion: "near"})
		n.nextHeartbeatAt = time.Duration(w.rng.Int64N(int64(s)))
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *simulation) faultActive(kind faultKind, node int) bool {
	for _, f := range w.faults {
		if f.kind == kind && f.from <= w.now && w.now < f.to && (kind != storeCut || f.node == node) {
			return true
		}
	}
	return false
}

func (w *simulation) promote() {
	if w.version < revocations && !w.faultActive(storeDown, 0) {
		w.version++
		w.revokedAt = append(w.revokedAt, w.now)
	}
}

const step = 50 * time.Millisecond

func (w *simulation) step() {
	w.now += step
	pending := w.messages
	w.messages = nil
	for _, m := range pending {
		if m.due > w.now {
			w.messages = append(w.messages, m)
		} else {
			w.receive(w.nodes[m.to], m)
		}
	}
	for _, n := range w.nodes {
		w.readRoot(n)
		if w.now >= n.nextHeartbeatAt {
			n.nextHeartbeatAt = w.now + s
			w.heartbeats(n)
		}
		if n.snap != n.seen && w.now >= n.activeAt {
			n.snap = n.seen
		}
	}
}

func (w *simulation) readRoot(n *node) {
	if n.pendingRead == nil && w.now >= n.nextReadAt {
		n.pendingRead = &storeRead{due: w.now + step, sent: n.clock(w.now), version: w.version}
		if w.faultActive(storeSlow, 0) {
			n.pendingRead.due += time.Duration(w.rng.Int64N(int64(4 * s)))
		}
		if w.faultActive(storeStale, 0) && w.rng.IntN(2) == 0 {
			n.pendingRead.version = w.versionAt(w.now - 2*s)
		}
		cut := w.faultActive(regionCut, 0) || w.faultActive(regionOneWayCut, 0)
		n.pendingRead.fails = w.faultActive(storeDown, 0) || w.faultActive(storeCut, n.id) || (n.id >= 3 && cut)
	}
	if n.pendingRead == nil || w.now < n.pendingRead.due {
		return
	}
	if now := n.clock(w.now); !n.pendingRead.fails {
		for v := range n.pendingRead.version {
			if _, found := w.readAt[v]; !found && n.id < 3 {
				w.readAt[v] = w.now
			}
		}
		w.readVersion(n, n.pendingRead.version)
		n.c.Confirm(now, core.Version(n.pendingRead.version+1), now.Sub(n.pendingRead.sent))
	}
	n.pendingRead = nil
	n.nextReadAt = w.now + s
}

func (w *simulation) versionAt(t time.Duration) int {
	v, _ := slices.BinarySearch(w.revokedAt, t+1)
	return v
}

// readVersion is the part of rollout: revocations at first sight, the rest later.
func (w *simulation) readVersion(n *node, version int) {
	if version <= n.seen {
		return
	}
	for v := n.seen; v < version; v++ {
		n.c.RevokeAtVersion(core.Version(v+2), "a", w.f.creds[v].Key)
	}
	n.seen = version
	n.activeAt = w.now + time.Duration(w.rng.Int64N(int64(6*s)))
	n.c.MarkVersionRead(n.clock(w.now), core.Version(version+1))
}

func (w *simulation) heartbeats(n *node) {
	now := n.clock(w.now)
	version, age := n.c.LatestConfirmation(now)
	for to := range w.nodes {
		if to == n.id {
			continue
		}
		last, hasEcho := n.echoes[to]
		w.send(message{
			from: n.id, to: to, stamp: now, echoed: last.stamp, held: now.Sub(last.arrived), hasEcho: hasEcho,
			version: version, age: age, root: -1,
		})
	}
}

func (w *simulation) send(m message) {
	crosses := (m.from < 3) != (m.to < 3)
	if crosses && (w.faultActive(regionCut, 0) || (w.faultActive(regionOneWayCut, 0) && m.from < 3)) {
		return
	}
	if w.faultActive(messageLoss, 0) && w.rng.IntN(5) == 0 {
		return
	}
	m.due = w.now + step
	if w.faultActive(messageDelay, 0) {
		m.due += time.Duration(w.rng.Int64N(int64(2 * s)))
	}
	w.messages = append(w.messages, m)
}

func (w *simulation) receive(n *node, m message) {
	now := n.clock(w.now)
	if m.root >= 0 {
		w.readVersion(n, m.root)
		return
	}
	if m.stamp > n.echoes[m.from].stamp {
		n.echoes[m.from] = echo{stamp: m.stamp, arrived: now}
	}
	if m.version == 0 {
		return
	}
	age := UnknownAge
	if m.hasEcho {
		age = AgeBound(now, m.echoed, m.held, m.age)
	}
	n.c.Confirm(now, m.version, age)
	n.c.OnPeerReport(now, core.InstanceRef{ID: core.InstanceID(fmt.Sprint(m.from))}, regions[m.from], m.age)
	if int(m.version) > n.seen+1 && w.now-n.rootRequestedAt > s {
		n.rootRequestedAt = w.now
		w.send(message{from: m.from, to: n.id, root: w.nodes[m.from].seen})
	}
}

func (w *simulation) check(n *node, key int, service core.ServiceName) core.Code {
	return codeOf(n.c.Check(n.clock(w.now), w.f.snaps[n.snap], w.f.creds[key], w.f.service(service)))
}

func drawFaults(t *rapid.T, kinds []faultKind, end time.Duration) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		from := time.Duration(rapid.Int64Range(int64(5*s), int64(end)).Draw(t, "from"))
		length := time.Duration(rapid.Int64Range(0, int64(40*s)).Draw(t, "length"))
		return fault{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), from: from, to: from + length,
			node: rapid.SampledFrom([]int{1, 2, 3, 4}).Draw(t, "node"), // node 0 reaches the store when it is up
		}
	}), 0, 5).Draw(t, "faults")
}

// revocationBound is the bound of the package comment, on the slowest clock, with
// the 2 s of a stale read.
const revocationBound = (DefaultConfirmationTTL+DefaultPeerTimeout+DefaultPartitionGrace)*100/99 + 2*s

// Guards against a revoked key that works for longer than the package comment
// states, and against one that works after its Instance has seen the root.
func TestRevokedKeyStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const end = 70 * s
		all := []faultKind{storeDown, storeSlow, storeStale, storeCut, regionCut, regionOneWayCut, messageLoss, messageDelay}
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), drawFaults(t, all, end))
		promotes := rapid.SliceOfN(rapid.IntRange(100, int(end/step)), 0, revocations).Draw(t, "promotes")
		for i := range int(end / step) {
			if slices.Contains(promotes, i) {
				w.promote()
			}
			w.step()
			for _, n := range w.nodes {
				for key := range w.revokedAt {
					if w.check(n, key, "strict") != "" {
						continue
					}
					if readAt, read := w.readAt[key]; read && w.now > readAt+revocationBound {
						t.Fatalf("node %d accepts key %d at %v, revoked at %v, read at %v, mode %v",
							n.id, key, w.now, w.revokedAt[key], readAt, n.c.Mode(n.clock(w.now)))
					}
					if key < n.seen {
						t.Fatalf("node %d accepts key %d after it saw the root", n.id, key)
					}
				}
			}
		}
	})
}

// Guards against an Instance that serves with an old version right after a
// partition, because the first peer it hears has no recent confirmation. A draw
// of TestRevokedKeyStops found it.
func TestRevokedKeyAfterPartition(t *testing.T) {
	w := newSimulation(0, []fault{
		{kind: regionCut, from: 5 * s, to: 20250 * time.Millisecond},
		{kind: storeSlow, from: 5 * s, to: 20500 * time.Millisecond},
	})
	for w.now < 25*s {
		if w.now == 5*s {
			w.promote()
		}
		w.step()
		for _, n := range w.nodes[3:] {
			if w.now > 19*s && w.check(n, 0, "strict") == "" {
				t.Fatalf("node %d accepts the revoked key at %v", n.id, w.now)
			}
		}
	}
}

// Guards against an Instance that serves on in a partition, one that refuses in a
// store outage or for a service whose policy is "serve", and one that does not
// recover.
func TestPartitionAndStoreOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.SampledFrom([]time.Duration{10 * s, time.Hour}).Draw(t, "cut from")
		cut := fault{kind: regionCut, from: from, to: from + 30*s}
		kinds := []faultKind{storeDown, storeSlow, storeStale}
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), append(drawFaults(t, kinds, 40*s), cut))
		for range int(90 * s / step) {
			w.step()
			for _, n := range w.nodes {
				strict, lenient := w.check(n, revocations, "strict"), w.check(n, revocations, "lenient")
				if w.now > 4*s && lenient != "" {
					t.Fatalf("node %d refuses a service with policy serve: %s", n.id, lenient)
				}
				cutOff := n.id >= 3 && w.now > cut.from+revocationBound && w.now < cut.to
				if cutOff && strict != core.CodeKeysStale {
					t.Fatalf("node %d serves at %v: %q", n.id, w.now, strict)
				}
				healed := n.id < 3 || w.now < cut.from || w.now > cut.to+3*s
				if w.now > 4*s && healed && strict != "" {
					t.Fatalf("node %d refuses at %v: %s", n.id, w.now, strict)
				}
			}
		}
	})
}
