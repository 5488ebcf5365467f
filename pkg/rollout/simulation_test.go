package rollout

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"pgregory.net/rapid"
)

// simulation runs several Rollouts in virtual time against one store.
type simulation struct {
	h            history
	random       *rand.Rand
	now          time.Duration
	faults       []fault
	version      core.Version // in the store
	nodes        []*node
	pendingCalls []pendingCall
	reads        int // of the root in the store
	fatalf       func(format string, args ...any)
}

type pendingCall struct {
	due time.Duration
	fn  func()
}

type faultKind int

const (
	storeDown        faultKind = iota // no read succeeds
	storeSlow                         // reads take up to 5 s
	storeStale                        // reads of the root return an older version
	storeUnreachable                  // one node cannot reach the store
	inboundLoss                       // no message reaches one node, but its own arrive
	messageLoss                       // one message or store reply in three is lost
	messageDelay                      // messages take up to 3 s and are reordered
	damagedPiece                      // one piece in three from a peer is damaged
	nodeRestart                       // one node restarts without state
)

type fault struct {
	kind     faultKind
	from, to time.Duration
	node     int
}

type node struct {
	id               int
	rate             float64
	offset           time.Duration
	r                *Rollout
	highestSeen      core.Version // highest version of any root received
	announced        core.Version // highest version confirmed by a peer before the first activation
	activeVersion    core.Version
	confirmedVersion core.Version
	confirmedAt      core.Instant
	revoked          map[core.AccountID]bool
	restarted        bool
	nextHeartbeat    time.Duration
}

func newSimulation(h history, seed uint64, count int, faults []fault) *simulation {
	sim := &simulation{h: h, random: rand.New(rand.NewPCG(seed, 1)), faults: faults, version: 1}
	for i := range count {
		n := &node{id: i, rate: 0.99 + 0.02*sim.random.Float64(), offset: time.Duration(sim.random.Int64N(int64(time.Hour)))}
		n.nextHeartbeat = time.Duration(sim.random.Int64N(int64(s)))
		sim.start(n)
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

func (sim *simulation) start(n *node) {
	n.r = New(Params{Random: rand.New(rand.NewPCG(sim.random.Uint64(), 0))})
	n.highestSeen, n.announced, n.activeVersion, n.confirmedVersion = 0, 0, 0, 0
	n.revoked = map[core.AccountID]bool{}
}

func (n *node) clock(t time.Duration) core.Instant {
	return core.Instant(n.offset) + core.Instant(float64(t)*n.rate)
}

func (sim *simulation) isActive(kind faultKind, node int) bool {
	for _, f := range sim.faults {
		ofNode := kind == storeUnreachable || kind == inboundLoss || kind == nodeRestart
		if f.kind == kind && f.from <= sim.now && sim.now < f.to && (!ofNode || f.node == node) {
			return true
		}
	}
	return false
}

const step = 20 * time.Millisecond

func (sim *simulation) step() {
	sim.now += step
	pending := sim.pendingCalls
	sim.pendingCalls = nil
	for _, c := range pending {
		if c.due > sim.now {
			sim.pendingCalls = append(sim.pendingCalls, c)
		} else {
			c.fn()
		}
	}
	for _, n := range sim.nodes {
		if restart := sim.isActive(nodeRestart, n.id); restart && !n.restarted {
			n.restarted = true
			sim.start(n)
		}
		if sim.now >= n.nextHeartbeat {
			n.nextHeartbeat = sim.now + s
			sim.heartbeats(n)
		}
		if now := n.clock(sim.now); now >= n.r.NextWake() {
			sim.execute(n, n.r.Tick(now))
		}
	}
}

// after runs fn at a node after the delay, unless the node has restarted by then.
func (sim *simulation) after(d time.Duration, n *node, fn func()) {
	r := n.r
	sim.pendingCalls = append(sim.pendingCalls, pendingCall{sim.now + d, func() {
		if n.r == r {
			fn()
		}
	}})
}

// send delivers a message to a node, or loses it.
func (sim *simulation) send(to *node, fn func()) {
	if sim.isActive(inboundLoss, to.id) || (sim.isActive(messageLoss, 0) && sim.random.IntN(3) == 0) {
		return
	}
	delay := step
	if sim.isActive(messageDelay, 0) {
		delay += time.Duration(sim.random.Int64N(int64(3 * s)))
	}
	sim.after(delay, to, fn)
}

func (sim *simulation) heartbeats(n *node) {
	if n.confirmedVersion == 0 {
		return
	}
	v, sentAt, age := n.confirmedVersion, sim.now, n.clock(sim.now).Sub(n.confirmedAt)
	for _, to := range sim.nodes {
		if to == n {
			continue
		}
		sim.send(to, func() {
			if to.activeVersion == 0 {
				to.announced = max(to.announced, v)
			}
			age := (age + sim.now - sentAt) * 102 / 100
			sim.execute(to, to.r.OnConfirmation(to.clock(sim.now), v, age, peer(n.id)))
		})
	}
}

func (sim *simulation) execute(n *node, outs []Output) {
	for _, out := range outs {
		switch o := out.(type) {
		case ReadRoot:
			sim.readRoot(n, o.From)
		case FetchPiece:
			sim.fetch(n, o)
		case RevokeKey:
			n.revoked[o.Account] = true
		case ConfirmVersion:
			at := n.clock(sim.now) - core.Instant(o.Age)
			if o.Version > n.confirmedVersion || at > n.confirmedAt {
				n.confirmedVersion, n.confirmedAt = o.Version, at
			}
			sim.checkRevoked(n, o.Version)
		case ActivateSnapshot:
			sim.checkActivated(n, o.Snapshot)
		case RejectVersion:
			sim.fatalf("node %d rejected version %d: %s", n.id, o.Version, o.Reason)
		}
	}
}

func (sim *simulation) readRoot(n *node, from Source) {
	if !from.IsStore() {
		other := sim.nodes[from.Peer.ID[1]-'0']
		sim.send(other, func() {
			root, age := other.r.Root(), other.clock(sim.now).Sub(other.confirmedAt)
			if root.Version != 0 {
				sim.send(n, func() { sim.deliverRoot(n, root, age+3*s, from) })
			}
		})
		return
	}
	sim.reads++
	v, sentAt := sim.version, n.clock(sim.now)
	if sim.isActive(storeStale, 0) {
		v = core.Version(1 + sim.random.Int64N(int64(v)))
	}
	sim.callStore(n, FetchID{From: Store}, func() {
		sim.deliverRoot(n, sim.h.roots[v], n.clock(sim.now).Sub(sentAt), Store)
	})
}

// callStore calls the store: it reports a failure, runs fn for the reply, or loses the
// reply.
func (sim *simulation) callStore(n *node, id FetchID, fn func()) {
	if sim.isActive(messageLoss, 0) && sim.random.IntN(3) == 0 {
		return
	}
	delay := step
	if sim.isActive(storeSlow, 0) {
		delay += time.Duration(sim.random.Int64N(int64(5 * s)))
	}
	sim.after(delay, n, func() {
		if sim.isActive(storeDown, 0) || sim.isActive(storeUnreachable, n.id) {
			sim.execute(n, n.r.OnFailure(n.clock(sim.now), id))
			return
		}
		fn()
	})
}

func (sim *simulation) deliverRoot(n *node, root config.Root, age time.Duration, from Source) {
	outs := n.r.OnRoot(n.clock(sim.now), root, age, from)
	n.highestSeen = max(n.highestSeen, root.Version)
	for _, out := range outs {
		if r, ok := out.(RevokeKey); ok {
			n.revoked[r.Account] = true
		}
	}
	sim.checkRevoked(n, min(n.highestSeen, root.Version))
	sim.execute(n, outs)
}

// checkRevoked verifies that every key revoked up to a version is refused.
func (sim *simulation) checkRevoked(n *node, v core.Version) {
	for i := 0; i+2 <= int(v); i++ {
		id := account(i, 0).ID
		if n.revoked[id] {
			continue
		}
		if snap := n.r.Snapshot(); snap != nil {
			if key, ok := snap.Key(id, "old"); ok && !key.Revoked {
				sim.fatalf("node %d has seen version %d but accepts the revoked key of %s", n.id, v, id)
			}
		}
	}
}

func (sim *simulation) checkActivated(n *node, snap *config.Snapshot) {
	v := snap.Version()
	if v <= n.activeVersion {
		sim.fatalf("node %d went from version %d to %d", n.id, n.activeVersion, v)
	}
	if v < n.announced {
		sim.fatalf("node %d started with version %d although a peer had confirmed %d", n.id, v, n.announced)
	}
	root, _ := config.Split(snap.Document())
	if want := sim.h.roots[v]; !reflect.DeepEqual(root.Nodes(), want.Nodes()) {
		sim.fatalf("node %d activated an incomplete version %d", n.id, v)
	}
	n.activeVersion = v
}

func (sim *simulation) fetch(n *node, f FetchPiece) {
	if f.From.IsStore() {
		sim.callStore(n, FetchID(f), func() {
			sim.execute(n, n.r.OnPiece(n.clock(sim.now), f.Hash, sim.h.pieces[f.Hash]))
		})
		return
	}
	other := sim.nodes[f.From.Peer.ID[1]-'0']
	sim.send(other, func() {
		body, ok := other.r.Piece(f.Hash)
		if sim.isActive(damagedPiece, 0) && sim.random.IntN(3) == 0 {
			body = body[:len(body)/2]
		}
		sim.send(n, func() {
			if !ok {
				sim.execute(n, n.r.OnFailure(n.clock(sim.now), FetchID(f)))
				return
			}
			sim.execute(n, n.r.OnPiece(n.clock(sim.now), f.Hash, body))
		})
	})
}

const versions = 12

var sharedHistory = newHistory(versions, 40)

func drawFaults(t *rapid.T, end time.Duration) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		from := time.Duration(rapid.Int64Range(0, int64(end)).Draw(t, "from"))
		length := time.Duration(rapid.Int64Range(0, int64(20*s)).Draw(t, "length"))
		return fault{
			kind: faultKind(rapid.IntRange(0, int(nodeRestart)).Draw(t, "kind")),
			from: from, to: min(from+length, end), node: rapid.IntRange(0, 3).Draw(t, "node"),
		}
	}), 0, 6).Draw(t, "faults")
}

// Guards against an Instance that returns to a lower version, misses a revocation of a
// root that it has seen, activates an incomplete version, or does not reach the last
// version after the faults end.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const end = 30 * s
		// A retry is delayed by at most RetryMax, a read of the store by at most
		// MaxStoreReadInterval.
		const convergeBy = end + 16*s
		sim := newSimulation(sharedHistory, rapid.Uint64().Draw(t, "seed"), 4, drawFaults(t, end))
		sim.fatalf = t.Fatalf
		promotions := rapid.SliceOfN(rapid.IntRange(1, int(end/step)), 0, versions-1).Draw(t, "promotes")
		for i := range int(convergeBy / step) {
			if slices.Contains(promotions, i) {
				sim.version++
			}
			sim.step()
		}
		for _, n := range sim.nodes {
			if n.activeVersion != sim.version {
				t.Fatalf("node %d has version %d active, want %d", n.id, n.activeVersion, sim.version)
			}
			if got, want := len(n.r.pieces), len(n.r.Snapshot().Pieces()); got != want {
				t.Fatalf("node %d keeps %d pieces, want %d", n.id, got, want)
			}
		}
	})
}

// Guards against a change that takes longer than the target of 4 s to become active on
// every Instance, when the only fault is that one Instance cannot reach the store.
func TestActivationWithinTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unreachable := fault{kind: storeUnreachable, to: time.Hour, node: 3}
		sim := newSimulation(sharedHistory, rapid.Uint64().Draw(t, "seed"), 6, []fault{unreachable})
		sim.fatalf = t.Fatalf
		for sim.now < 10*s {
			sim.step()
		}
		for range 3 {
			sim.version++
			promotedAt := sim.now
			for sim.now < promotedAt+4*s {
				sim.step()
			}
			for _, n := range sim.nodes {
				if n.activeVersion != sim.version {
					t.Fatalf("node %d has version %d active 4 s after the promotion of version %d", n.id, n.activeVersion, sim.version)
				}
			}
		}
	})
}

// Guards against confirmations of peers that do not postpone reads of the root, and
// against Instances that read at the same time. Without confirmations, 9 Instances
// read the root 360 times a minute.
func TestConfirmationsPostponeReads(t *testing.T) {
	sim := newSimulation(sharedHistory, 1, 9, nil)
	sim.fatalf = t.Fatalf
	var readsByStep []int
	for sim.now < 60*s {
		sim.step()
		if readsByStep = append(readsByStep, sim.reads); sim.now > 5*s && sim.reads-readsByStep[len(readsByStep)-10] > 5 {
			t.Errorf("%d of 9 Instances read the root within 200 ms of %v", sim.reads-readsByStep[len(readsByStep)-10], sim.now)
		}
	}
	if sim.reads > 180 {
		t.Errorf("%d reads of the root in a minute, want at most 180", sim.reads)
	}
}
