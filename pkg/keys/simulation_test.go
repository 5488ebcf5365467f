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

// simulation runs several Checkers in virtual time against one store. Nodes 0 to 2
// are in the store's region, 3 and 4 in another one.
type simulation struct {
	f         fixture
	rng       *rand.Rand
	now       time.Duration
	faults    []fault
	version   int // index into f.snaps of the version in the store
	revokedAt []time.Duration
	// readAt has the time at which an Instance of the store's region first read each
	// revocation. Before that, in a store outage, no Instance there can know of it.
	readAt   map[int]time.Duration
	nodes    []*node
	messages []message
}

type faultKind int

const (
	storeDown       faultKind = iota // no read or write succeeds
	storeSlow                        // reads take up to 4 s
	storeStale                       // reads return the state of up to 2 s ago
	storeCut                         // one node can't reach the store
	regionCut                        // no message or read crosses between the regions
	regionOneWayCut                  // nothing reaches the other region, but the reverse direction works
	messageLoss                      // one message in five is lost
	messageDelay                     // messages take up to 2 s and may arrive out of order
)

type fault struct {
	kind     faultKind
	from, to time.Duration
	node     int
}

type node struct {
	id                          int
	rate                        float64 // clock rate relative to true time
	offset                      time.Duration
	c                           *Checker
	activeVersion, rootVersion  int           // indices into f.snaps
	activeAt                    time.Duration // when rootVersion becomes active
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
	from, to           int
	due, holdTime, age time.Duration
	stamp, echoedAt    core.Instant
	hasEcho            bool
	version            core.Version
	root               int // index of the root in the message, or -1 for a heartbeat
}

func (n *node) clock(t time.Duration) core.Instant {
	return core.Instant(n.offset) + core.Instant(float64(t)*n.rate)
}

var sharedFixture = newFixture()
var regions = []core.RegionName{"near", "near", "near", "far", "far"}

func newSimulation(seed uint64, faults []fault) *simulation {
	sim := &simulation{f: sharedFixture, faults: faults, readAt: map[int]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range 5 {
		n := &node{id: i, rate: 0.99 + 0.02*sim.rng.Float64(), echoes: map[int]echo{}}
		n.offset = time.Duration(sim.rng.Int64N(int64(time.Hour)))
		n.c = New(Params{Region: regions[i], StoreRegion: "near"})
		n.nextHeartbeatAt = time.Duration(sim.rng.Int64N(int64(s)))
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

func (sim *simulation) faultActive(kind faultKind, node int) bool {
	for _, f := range sim.faults {
		if f.kind == kind && f.from <= sim.now && sim.now < f.to && (kind != storeCut || f.node == node) {
			return true
		}
	}
	return false
}

func (sim *simulation) promote() {
	if sim.version < revocations && !sim.faultActive(storeDown, 0) {
		sim.version++
		sim.revokedAt = append(sim.revokedAt, sim.now)
	}
}

const step = 50 * time.Millisecond

func (sim *simulation) step() {
	sim.now += step
	messages := sim.messages
	sim.messages = nil
	for _, m := range messages {
		if m.due > sim.now {
			sim.messages = append(sim.messages, m)
		} else {
			sim.receive(sim.nodes[m.to], m)
		}
	}
	for _, n := range sim.nodes {
		sim.readRoot(n)
		if sim.now >= n.nextHeartbeatAt {
			n.nextHeartbeatAt = sim.now + s
			sim.heartbeats(n)
		}
		if n.activeVersion != n.rootVersion && sim.now >= n.activeAt {
			n.activeVersion = n.rootVersion
		}
	}
}

func (sim *simulation) readRoot(n *node) {
	if n.pendingRead == nil && sim.now >= n.nextReadAt {
		n.pendingRead = &storeRead{due: sim.now + step, sent: n.clock(sim.now), version: sim.version}
		if sim.faultActive(storeSlow, 0) {
			n.pendingRead.due += time.Duration(sim.rng.Int64N(int64(4 * s)))
		}
		if sim.faultActive(storeStale, 0) && sim.rng.IntN(2) == 0 {
			n.pendingRead.version = sim.versionAt(sim.now - 2*s)
		}
		partition := sim.faultActive(regionCut, 0) || sim.faultActive(regionOneWayCut, 0)
		n.pendingRead.fails = sim.faultActive(storeDown, 0) || sim.faultActive(storeCut, n.id) || (n.id >= 3 && partition)
	}
	if n.pendingRead == nil || sim.now < n.pendingRead.due {
		return
	}
	if now := n.clock(sim.now); !n.pendingRead.fails {
		for v := range n.pendingRead.version {
			if _, found := sim.readAt[v]; !found && n.id < 3 {
				sim.readAt[v] = sim.now
			}
		}
		sim.readVersion(n, n.pendingRead.version)
		n.c.Confirm(now, core.Version(n.pendingRead.version+1), now.Sub(n.pendingRead.sent))
	}
	n.pendingRead = nil
	n.nextReadAt = sim.now + s
}

func (sim *simulation) versionAt(t time.Duration) int {
	v, _ := slices.BinarySearch(sim.revokedAt, t+1)
	return v
}

// readVersion does the part of package rollout: it applies revocations immediately
// and activates the rest of the version later.
func (sim *simulation) readVersion(n *node, version int) {
	if version <= n.rootVersion {
		return
	}
	for v := n.rootVersion; v < version; v++ {
		n.c.RevokeAtVersion(core.Version(v+2), "a", sim.f.creds[v].Key)
	}
	n.rootVersion = version
	n.activeAt = sim.now + time.Duration(sim.rng.Int64N(int64(6*s)))
	n.c.MarkVersionRead(n.clock(sim.now), core.Version(version+1))
}

func (sim *simulation) heartbeats(n *node) {
	now := n.clock(sim.now)
	version, age := n.c.LatestConfirmation(now)
	for to := range sim.nodes {
		if to == n.id {
			continue
		}
		last, hasEcho := n.echoes[to]
		sim.send(message{
			from: n.id, to: to, stamp: now, echoedAt: last.stamp, holdTime: now.Sub(last.arrived), hasEcho: hasEcho,
			version: version, age: age, root: -1,
		})
	}
}

func (sim *simulation) send(m message) {
	crosses := (m.from < 3) != (m.to < 3)
	if crosses && (sim.faultActive(regionCut, 0) || (sim.faultActive(regionOneWayCut, 0) && m.from < 3)) {
		return
	}
	if sim.faultActive(messageLoss, 0) && sim.rng.IntN(5) == 0 {
		return
	}
	m.due = sim.now + step
	if sim.faultActive(messageDelay, 0) {
		m.due += time.Duration(sim.rng.Int64N(int64(2 * s)))
	}
	sim.messages = append(sim.messages, m)
}

func (sim *simulation) receive(n *node, m message) {
	now := n.clock(sim.now)
	if m.root >= 0 {
		sim.readVersion(n, m.root)
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
		age = AgeBound(now, m.echoedAt, m.holdTime, m.age)
	}
	n.c.Confirm(now, m.version, age)
	n.c.OnPeerReport(now, core.InstanceRef{ID: core.InstanceID(fmt.Sprint(m.from))}, regions[m.from], m.age)
	if int(m.version) > n.rootVersion+1 && sim.now-n.rootRequestedAt > s {
		n.rootRequestedAt = sim.now
		sim.send(message{from: m.from, to: n.id, root: sim.nodes[m.from].rootVersion})
	}
}

func (sim *simulation) check(n *node, key int, service core.ServiceName) core.Code {
	return codeOf(n.c.Check(n.clock(sim.now), sim.f.snaps[n.activeVersion], sim.f.creds[key], sim.f.service(service)))
}

func drawFaults(t *rapid.T, kinds []faultKind, end time.Duration) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		from := time.Duration(rapid.Int64Range(int64(5*s), int64(end)).Draw(t, "from"))
		length := time.Duration(rapid.Int64Range(0, int64(40*s)).Draw(t, "length"))
		return fault{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), from: from, to: from + length,
			node: rapid.SampledFrom([]int{1, 2, 3, 4}).Draw(t, "node"), // node 0 is never cut from the store
		}
	}), 0, 5).Draw(t, "faults")
}

// revocationBound is the limit from the package comment on the slowest clock, plus the
// 2 s of a stale read.
const revocationBound = (DefaultConfirmationTTL+DefaultPeerTimeout+DefaultPartitionGrace)*100/99 + 2*s

// Guards against a revoked key that is accepted for longer than the package comment
// states, and against one that is accepted after its Instance has read the root.
func TestRevokedKeyStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const end = 70 * s
		all := []faultKind{storeDown, storeSlow, storeStale, storeCut, regionCut, regionOneWayCut, messageLoss, messageDelay}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), drawFaults(t, all, end))
		promotes := rapid.SliceOfN(rapid.IntRange(100, int(end/step)), 0, revocations).Draw(t, "promotes")
		for i := range int(end / step) {
			if slices.Contains(promotes, i) {
				sim.promote()
			}
			sim.step()
			for _, n := range sim.nodes {
				for key := range sim.revokedAt {
					if sim.check(n, key, "strict") != "" {
						continue
					}
					if readAt, read := sim.readAt[key]; read && sim.now > readAt+revocationBound {
						t.Fatalf("node %d accepts key %d at %v, revoked at %v, read at %v, mode %v",
							n.id, key, sim.now, sim.revokedAt[key], readAt, n.c.Mode(n.clock(sim.now)))
					}
					if key < n.rootVersion {
						t.Fatalf("node %d accepts key %d after it read the root", n.id, key)
					}
				}
			}
		}
	})
}

// Guards against an Instance that serves with an old version immediately after a
// partition. It would take the partition for a store outage, since the first peer
// that it reaches has no recent confirmation. A run of TestRevokedKeyStops found
// this.
func TestRevokedKeyAfterPartition(t *testing.T) {
	sim := newSimulation(0, []fault{
		{kind: regionCut, from: 5 * s, to: 20250 * time.Millisecond},
		{kind: storeSlow, from: 5 * s, to: 20500 * time.Millisecond},
	})
	for sim.now < 25*s {
		if sim.now == 5*s {
			sim.promote()
		}
		sim.step()
		for _, n := range sim.nodes[3:] {
			if sim.now > 19*s && sim.check(n, 0, "strict") == "" {
				t.Fatalf("node %d accepts the revoked key at %v", n.id, sim.now)
			}
		}
	}
}

// Guards against an Instance that continues to serve in a partition, one that refuses
// in a store outage or for a service whose policy is "serve", and one that does not
// recover.
func TestPartitionAndStoreOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.SampledFrom([]time.Duration{10 * s, time.Hour}).Draw(t, "cut from")
		partition := fault{kind: regionCut, from: from, to: from + 30*s}
		kinds := []faultKind{storeDown, storeSlow, storeStale}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), append(drawFaults(t, kinds, 40*s), partition))
		for range int(90 * s / step) {
			sim.step()
			for _, n := range sim.nodes {
				strict, lenient := sim.check(n, revocations, "strict"), sim.check(n, revocations, "lenient")
				if sim.now > 4*s && lenient != "" {
					t.Fatalf("node %d refuses a service with policy serve: %s", n.id, lenient)
				}
				partitioned := n.id >= 3 && sim.now > partition.from+revocationBound && sim.now < partition.to
				if partitioned && strict != core.CodeKeysStale {
					t.Fatalf("node %d serves at %v: %q", n.id, sim.now, strict)
				}
				healed := n.id < 3 || sim.now < partition.from || sim.now > partition.to+3*s
				if sim.now > 4*s && healed && strict != "" {
					t.Fatalf("node %d refuses at %v: %s", n.id, sim.now, strict)
				}
			}
		}
	})
}
