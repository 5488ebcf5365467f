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

// world runs several Rollouts in virtual time against one store.
type world struct {
	h        history
	random   *rand.Rand
	now      time.Duration
	faults   []fault
	version  core.Version // in the store
	nodes    []*node
	pending  []pendingCall
	reads    int // of the root in the store
	failWith func(format string, args ...any)
}

type pendingCall struct {
	due time.Duration
	do  func()
}

type faultKind int

const (
	storeDown   faultKind = iota // no read succeeds
	storeSlow                    // reads take up to 5 s
	storeStale                   // reads of the root return an older version
	storeCut                     // one node does not reach the store
	nodeCut                      // no message reaches one node; its own get through
	messageLoss                  // one message or answer of the store in three is lost
	messageLate                  // messages take up to 3 s, and overtake each other
	wrongPiece                   // one piece in three from a peer is damaged
	restart                      // one node starts again without state
)

type fault struct {
	kind     faultKind
	from, to time.Duration
	node     int
}

type node struct {
	id        int
	rate      float64
	offset    time.Duration
	r         *Rollout
	seen      core.Version // highest root taken
	announced core.Version // highest version heard before the first in force
	inForce   core.Version
	confirmed core.Version
	at        core.Instant
	revoked   map[core.AccountID]bool
	restarted bool
	nextBeat  time.Duration
}

func newWorld(h history, seed uint64, count int, faults []fault) *world {
	w := &world{h: h, random: rand.New(rand.NewPCG(seed, 1)), faults: faults, version: 1}
	for i := range count {
		n := &node{id: i, rate: 0.99 + 0.02*w.random.Float64(), offset: time.Duration(w.random.Int64N(int64(time.Hour)))}
		n.nextBeat = time.Duration(w.random.Int64N(int64(s)))
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) start(n *node) {
	n.r = New(Params{Random: rand.New(rand.NewPCG(w.random.Uint64(), 0))})
	n.seen, n.announced, n.inForce, n.confirmed = 0, 0, 0, 0
	n.revoked = map[core.AccountID]bool{}
}

func (n *node) clock(t time.Duration) core.Instant {
	return core.Instant(n.offset) + core.Instant(float64(t)*n.rate)
}

func (w *world) active(kind faultKind, node int) bool {
	for _, f := range w.faults {
		ofNode := kind == storeCut || kind == nodeCut || kind == restart
		if f.kind == kind && f.from <= w.now && w.now < f.to && (!ofNode || f.node == node) {
			return true
		}
	}
	return false
}

const step = 20 * time.Millisecond

func (w *world) step() {
	w.now += step
	pending := w.pending
	w.pending = nil
	for _, c := range pending {
		if c.due > w.now {
			w.pending = append(w.pending, c)
		} else {
			c.do()
		}
	}
	for _, n := range w.nodes {
		if again := w.active(restart, n.id); again && !n.restarted {
			n.restarted = true
			w.start(n)
		}
		if w.now >= n.nextBeat {
			n.nextBeat = w.now + s
			w.heartbeats(n)
		}
		if now := n.clock(w.now); now >= n.r.NextWake() {
			w.carryOut(n, n.r.Tick(now))
		}
	}
}

// after runs do later at a node, unless the node has started again meanwhile.
func (w *world) after(d time.Duration, n *node, do func()) {
	r := n.r
	w.pending = append(w.pending, pendingCall{w.now + d, func() {
		if n.r == r {
			do()
		}
	}})
}

// send passes a message to a node, or loses it.
func (w *world) send(to *node, do func()) {
	if w.active(nodeCut, to.id) || (w.active(messageLoss, 0) && w.random.IntN(3) == 0) {
		return
	}
	delay := step
	if w.active(messageLate, 0) {
		delay += time.Duration(w.random.Int64N(int64(3 * s)))
	}
	w.after(delay, to, do)
}

func (w *world) heartbeats(n *node) {
	if n.confirmed == 0 {
		return
	}
	v, sent, age := n.confirmed, w.now, n.clock(w.now).Sub(n.at)
	for _, to := range w.nodes {
		if to == n {
			continue
		}
		w.send(to, func() {
			if to.inForce == 0 {
				to.announced = max(to.announced, v)
			}
			age := (age + w.now - sent) * 102 / 100
			w.carryOut(to, to.r.OnConfirmation(to.clock(w.now), v, age, peer(n.id)))
		})
	}
}

func (w *world) carryOut(n *node, outs []Output) {
	for _, out := range outs {
		switch o := out.(type) {
		case ReadRoot:
			w.readRoot(n, o.From)
		case FetchPiece:
			w.fetch(n, o)
		case RevokeKey:
			n.revoked[o.Account] = true
		case ConfirmVersion:
			at := n.clock(w.now) - core.Instant(o.Age)
			if o.Version > n.confirmed || at > n.at {
				n.confirmed, n.at = o.Version, at
			}
			w.checkRevoked(n, o.Version)
		case ActivateSnapshot:
			w.checkInForce(n, o.Snapshot)
		case RejectVersion:
			w.failWith("node %d rejects version %d: %s", n.id, o.Version, o.Reason)
		}
	}
}

func (w *world) readRoot(n *node, from Source) {
	if !from.IsStore() {
		other := w.nodes[from.Peer.ID[1]-'0']
		w.send(other, func() {
			root, age := other.r.Root(), other.clock(w.now).Sub(other.at)
			if root.Version != 0 {
				w.send(n, func() { w.takeRoot(n, root, age+3*s, from) })
			}
		})
		return
	}
	w.reads++
	v, sent := w.version, n.clock(w.now)
	if w.active(storeStale, 0) {
		v = core.Version(1 + w.random.Int64N(int64(v)))
	}
	w.askStore(n, FetchID{From: Store}, func() {
		w.takeRoot(n, w.h.roots[v], n.clock(w.now).Sub(sent), Store)
	})
}

// askStore reports the failure of a call to the store, or does what its answer
// does, or loses the answer.
func (w *world) askStore(n *node, want FetchID, do func()) {
	if w.active(messageLoss, 0) && w.random.IntN(3) == 0 {
		return
	}
	delay := step
	if w.active(storeSlow, 0) {
		delay += time.Duration(w.random.Int64N(int64(5 * s)))
	}
	w.after(delay, n, func() {
		if w.active(storeDown, 0) || w.active(storeCut, n.id) {
			w.carryOut(n, n.r.OnFailure(n.clock(w.now), want))
			return
		}
		do()
	})
}

func (w *world) takeRoot(n *node, root config.Root, age time.Duration, from Source) {
	outs := n.r.OnRoot(n.clock(w.now), root, age, from)
	n.seen = max(n.seen, root.Version)
	for _, out := range outs {
		if r, ok := out.(RevokeKey); ok {
			n.revoked[r.Account] = true
		}
	}
	w.checkRevoked(n, min(n.seen, root.Version))
	w.carryOut(n, outs)
}

// checkRevoked verifies that every key revoked up to a version is refused.
func (w *world) checkRevoked(n *node, v core.Version) {
	for i := 0; i+2 <= int(v); i++ {
		id := account(i, 0).ID
		if n.revoked[id] {
			continue
		}
		if snap := n.r.Snapshot(); snap != nil {
			if key, ok := snap.Key(id, "old"); ok && !key.Revoked {
				w.failWith("node %d has seen version %d and accepts the key of %s", n.id, v, id)
			}
		}
	}
}

func (w *world) checkInForce(n *node, snap *config.Snapshot) {
	v := snap.Version()
	if v <= n.inForce {
		w.failWith("node %d goes from version %d to %d", n.id, n.inForce, v)
	}
	if v < n.announced {
		w.failWith("node %d starts with version %d after it heard of %d", n.id, v, n.announced)
	}
	root, _ := config.Split(snap.Document())
	if want := w.h.roots[v]; !reflect.DeepEqual(root.Nodes(), want.Nodes()) {
		w.failWith("node %d has an incomplete version %d", n.id, v)
	}
	n.inForce = v
}

func (w *world) fetch(n *node, f FetchPiece) {
	if f.From.IsStore() {
		w.askStore(n, FetchID(f), func() {
			w.carryOut(n, n.r.OnPiece(n.clock(w.now), f.Hash, w.h.pieces[f.Hash]))
		})
		return
	}
	other := w.nodes[f.From.Peer.ID[1]-'0']
	w.send(other, func() {
		body, ok := other.r.Piece(f.Hash)
		if w.active(wrongPiece, 0) && w.random.IntN(3) == 0 {
			body = body[:len(body)/2]
		}
		w.send(n, func() {
			if !ok {
				w.carryOut(n, n.r.OnFailure(n.clock(w.now), FetchID(f)))
				return
			}
			w.carryOut(n, n.r.OnPiece(n.clock(w.now), f.Hash, body))
		})
	})
}

const versions = 12

var shared = newHistory(versions, 40)

func drawFaults(t *rapid.T, end time.Duration) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		from := time.Duration(rapid.Int64Range(0, int64(end)).Draw(t, "from"))
		length := time.Duration(rapid.Int64Range(0, int64(20*s)).Draw(t, "length"))
		return fault{
			kind: faultKind(rapid.IntRange(0, int(restart)).Draw(t, "kind")),
			from: from, to: min(from+length, end), node: rapid.IntRange(0, 3).Draw(t, "node"),
		}
	}), 0, 6).Draw(t, "faults")
}

// Guards against an Instance that goes back to a lower version, misses a
// revocation of a root it has seen, puts an incomplete version in force, or does
// not reach the last version once the faults end.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const end = 30 * s
		// A retry waits for RetryMax at most, an own read for MaxStoreReadInterval.
		const settled = end + 16*s
		w := newWorld(shared, rapid.Uint64().Draw(t, "seed"), 4, drawFaults(t, end))
		w.failWith = t.Fatalf
		promotes := rapid.SliceOfN(rapid.IntRange(1, int(end/step)), 0, versions-1).Draw(t, "promotes")
		for i := range int(settled / step) {
			if slices.Contains(promotes, i) {
				w.version++
			}
			w.step()
		}
		for _, n := range w.nodes {
			if n.inForce != w.version {
				t.Fatalf("node %d has version %d in force, want %d", n.id, n.inForce, w.version)
			}
			if kept, want := len(n.r.pieces), len(n.r.Snapshot().Pieces()); kept != want {
				t.Fatalf("node %d keeps %d pieces, want %d", n.id, kept, want)
			}
		}
	})
}

// Guards against a change that takes longer than the target of 4 s when nothing
// fails but that one Instance reaches only its peers.
func TestInForceWithinTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cut := fault{kind: storeCut, to: time.Hour, node: 3}
		w := newWorld(shared, rapid.Uint64().Draw(t, "seed"), 6, []fault{cut})
		w.failWith = t.Fatalf
		for w.now < 10*s {
			w.step()
		}
		for range 3 {
			w.version++
			promoted := w.now
			for w.now < promoted+4*s {
				w.step()
			}
			for _, n := range w.nodes {
				if n.inForce != w.version {
					t.Fatalf("node %d has version %d in force 4 s after version %d", n.id, n.inForce, w.version)
				}
			}
		}
	})
}

// Guards against confirmations of peers that don't stretch the timer, and against
// timers that end together. Without confirmations, 9 Instances read the root 360
// times in a minute.
func TestPeersStretchReads(t *testing.T) {
	w := newWorld(shared, 1, 9, nil)
	w.failWith = t.Fatalf
	var last []int
	for w.now < 60*s {
		w.step()
		if last = append(last, w.reads); w.now > 5*s && w.reads-last[len(last)-10] > 5 {
			t.Errorf("%d of 9 Instances read the root within 200 ms of %v", w.reads-last[len(last)-10], w.now)
		}
	}
	if w.reads > 180 {
		t.Errorf("%d reads of the root in a minute, want at most 180", w.reads)
	}
}
