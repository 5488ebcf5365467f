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
	storeUnreachable                  // one node does not reach the store
	inboundLoss                       // no message reaches one node; its own get through
	messageLoss                       // one message or answer of the store in three is lost
	messageDelay                      // messages take up to 3 s, and overtake each other
	damagedPiece                      // one piece in three from a peer is damaged
	nodeRestart                       // one node starts again without state
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
	highestSeen      core.Version // highest root taken
	announced        core.Version // highest version heard before the first in force
	activeVersion    core.Version
	confirmedVersion core.Version
	confirmedAt      core.Instant
	revoked          map[core.AccountID]bool
	restarted        bool
	nextHeartbeat    time.Duration
}

func newSimulation(h history, seed uint64, count int, faults []fault) *simulation {
	w := &simulation{h: h, random: rand.New(rand.NewPCG(seed, 1)), faults: faults, version: 1}
	for i := range count {
		n := &node{id: i, rate: 0.99 + 0.02*w.random.Float64(), offset: time.Duration(w.random.Int64N(int64(time.Hour)))}
		n.nextHeartbeat = time.Duration(w.random.Int64N(int64(s)))
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *simulation) start(n *node) {
	n.r = New(Params{Random: rand.New(rand.NewPCG(w.random.Uint64(), 0))})
	n.highestSeen, n.announced, n.activeVersion, n.confirmedVersion = 0, 0, 0, 0
	n.revoked = map[core.AccountID]bool{}
}

func (n *node) clock(t time.Duration) core.Instant {
	return core.Instant(n.offset) + core.Instant(float64(t)*n.rate)
}

func (w *simulation) isActive(kind faultKind, node int) bool {
	for _, f := range w.faults {
		ofNode := kind == storeUnreachable || kind == inboundLoss || kind == nodeRestart
		if f.kind == kind && f.from <= w.now && w.now < f.to && (!ofNode || f.node == node) {
			return true
		}
	}
	return false
}

const step = 20 * time.Millisecond

func (w *simulation) step() {
	w.now += step
	pending := w.pendingCalls
	w.pendingCalls = nil
	for _, c := range pending {
		if c.due > w.now {
			w.pendingCalls = append(w.pendingCalls, c)
		} else {
			c.fn()
		}
	}
	for _, n := range w.nodes {
		if again := w.isActive(nodeRestart, n.id); again && !n.restarted {
			n.restarted = true
			w.start(n)
		}
		if w.now >= n.nextHeartbeat {
			n.nextHeartbeat = w.now + s
			w.heartbeats(n)
		}
		if now := n.clock(w.now); now >= n.r.NextWake() {
			w.execute(n, n.r.Tick(now))
		}
	}
}

// after runs do later at a node, unless the node has started again meanwhile.
func (w *simulation) after(d time.Duration, n *node, do func()) {
	r := n.r
	w.pendingCalls = append(w.pendingCalls, pendingCall{w.now + d, func() {
		if n.r == r {
			do()
		}
	}})
}

// send passes a message to a node, or loses it.
func (w *simulation) send(to *node, do func()) {
	if w.isActive(inboundLoss, to.id) || (w.isActive(messageLoss, 0) && w.random.IntN(3) == 0) {
		return
	}
	delay := step
	if w.isActive(messageDelay, 0) {
		delay += time.Duration(w.random.Int64N(int64(3 * s)))
	}
	w.after(delay, to, do)
}

func (w *simulation) heartbeats(n *node) {
	if n.confirmedVersion == 0 {
		return
	}
	v, sent, age := n.confirmedVersion, w.now, n.clock(w.now).Sub(n.confirmedAt)
	for _, to := range w.nodes {
		if to == n {
			continue
		}
		w.send(to, func() {
			if to.activeVersion == 0 {
				to.announced = max(to.announced, v)
			}
			age := (age + w.now - sent) * 102 / 100
			w.execute(to, to.r.OnConfirmation(to.clock(w.now), v, age, peer(n.id)))
		})
	}
}

func (w *simulation) execute(n *node, outs []Output) {
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
			if o.Version > n.confirmedVersion || at > n.confirmedAt {
				n.confirmedVersion, n.confirmedAt = o.Version, at
			}
			w.checkRevoked(n, o.Version)
		case ActivateSnapshot:
			w.checkActivated(n, o.Snapshot)
		case RejectVersion:
			w.fatalf("node %d rejects version %d: %s", n.id, o.Version, o.Reason)
		}
	}
}

func (w *simulation) readRoot(n *node, from Source) {
	if !from.IsStore() {
		other := w.nodes[from.Peer.ID[1]-'0']
		w.send(other, func() {
			root, age := other.r.Root(), other.clock(w.now).Sub(other.confirmedAt)
			if root.Version != 0 {
				w.send(n, func() { w.deliverRoot(n, root, age+3*s, from) })
			}
		})
		return
	}
	w.reads++
	v, sent := w.version, n.clock(w.now)
	if w.isActive(storeStale, 0) {
		v = core.Version(1 + w.random.Int64N(int64(v)))
	}
	w.callStore(n, FetchID{From: Store}, func() {
		w.deliverRoot(n, w.h.roots[v], n.clock(w.now).Sub(sent), Store)
	})
}

// callStore reports the failure of a call to the store, or does what its answer
// does, or loses the answer.
func (w *simulation) callStore(n *node, want FetchID, do func()) {
	if w.isActive(messageLoss, 0) && w.random.IntN(3) == 0 {
		return
	}
	delay := step
	if w.isActive(storeSlow, 0) {
		delay += time.Duration(w.random.Int64N(int64(5 * s)))
	}
	w.after(delay, n, func() {
		if w.isActive(storeDown, 0) || w.isActive(storeUnreachable, n.id) {
			w.execute(n, n.r.OnFailure(n.clock(w.now), want))
			return
		}
		do()
	})
}

func (w *simulation) deliverRoot(n *node, root config.Root, age time.Duration, from Source) {
	outs := n.r.OnRoot(n.clock(w.now), root, age, from)
	n.highestSeen = max(n.highestSeen, root.Version)
	for _, out := range outs {
		if r, ok := out.(RevokeKey); ok {
			n.revoked[r.Account] = true
		}
	}
	w.checkRevoked(n, min(n.highestSeen, root.Version))
	w.execute(n, outs)
}

// checkRevoked verifies that every key revoked up to a version is refused.
func (w *simulation) checkRevoked(n *node, v core.Version) {
	for i := 0; i+2 <= int(v); i++ {
		id := account(i, 0).ID
		if n.revoked[id] {
			continue
		}
		if snap := n.r.Snapshot(); snap != nil {
			if key, ok := snap.Key(id, "old"); ok && !key.Revoked {
				w.fatalf("node %d has seen version %d and accepts the key of %s", n.id, v, id)
			}
		}
	}
}

func (w *simulation) checkActivated(n *node, snap *config.Snapshot) {
	v := snap.Version()
	if v <= n.activeVersion {
		w.fatalf("node %d goes from version %d to %d", n.id, n.activeVersion, v)
	}
	if v < n.announced {
		w.fatalf("node %d starts with version %d after it heard of %d", n.id, v, n.announced)
	}
	root, _ := config.Split(snap.Document())
	if want := w.h.roots[v]; !reflect.DeepEqual(root.Nodes(), want.Nodes()) {
		w.fatalf("node %d has an incomplete version %d", n.id, v)
	}
	n.activeVersion = v
}

func (w *simulation) fetch(n *node, f FetchPiece) {
	if f.From.IsStore() {
		w.callStore(n, FetchID(f), func() {
			w.execute(n, n.r.OnPiece(n.clock(w.now), f.Hash, w.h.pieces[f.Hash]))
		})
		return
	}
	other := w.nodes[f.From.Peer.ID[1]-'0']
	w.send(other, func() {
		body, ok := other.r.Piece(f.Hash)
		if w.isActive(damagedPiece, 0) && w.random.IntN(3) == 0 {
			body = body[:len(body)/2]
		}
		w.send(n, func() {
			if !ok {
				w.execute(n, n.r.OnFailure(n.clock(w.now), FetchID(f)))
				return
			}
			w.execute(n, n.r.OnPiece(n.clock(w.now), f.Hash, body))
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

// Guards against an Instance that goes back to a lower version, misses a
// revocation of a root it has seen, puts an incomplete version in force, or does
// not reach the last version once the faults end.
func TestVersionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const end = 30 * s
		// A retry waits for RetryMax at most, an own read for MaxStoreReadInterval.
		const settled = end + 16*s
		w := newSimulation(sharedHistory, rapid.Uint64().Draw(t, "seed"), 4, drawFaults(t, end))
		w.fatalf = t.Fatalf
		promotes := rapid.SliceOfN(rapid.IntRange(1, int(end/step)), 0, versions-1).Draw(t, "promotes")
		for i := range int(settled / step) {
			if slices.Contains(promotes, i) {
				w.version++
			}
			w.step()
		}
		for _, n := range w.nodes {
			if n.activeVersion != w.version {
				t.Fatalf("node %d has version %d in force, want %d", n.id, n.activeVersion, w.version)
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
		cut := fault{kind: storeUnreachable, to: time.Hour, node: 3}
		w := newSimulation(sharedHistory, rapid.Uint64().Draw(t, "seed"), 6, []fault{cut})
		w.fatalf = t.Fatalf
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
				if n.activeVersion != w.version {
					t.Fatalf("node %d has version %d in force 4 s after version %d", n.id, n.activeVersion, w.version)
				}
			}
		}
	})
}

// Guards against confirmations of peers that don't stretch the timer, and against
// timers that end together. Without confirmations, 9 Instances read the root 360
// times in a minute.
func TestPeersStretchReads(t *testing.T) {
	w := newSimulation(sharedHistory, 1, 9, nil)
	w.fatalf = t.Fatalf
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
