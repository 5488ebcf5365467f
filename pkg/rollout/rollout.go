// Package rollout activates new configuration versions on one Instance.
//
// A version consists of a root and of pieces, which are content-addressed nodes and
// leaves. The package learns of versions from reads of the root in the store and from
// peers, and never returns to a lower version, whatever a source reports. It applies
// revocations when it first sees a root, and activates the version when every piece
// has arrived. Pieces are fetched from peers first and from the store second. The
// package does no I/O: methods return Outputs, which the caller executes. Of these,
// RevokeKey goes to keys.Checker.RevokeAtVersion, ConfirmVersion to
// Checker.MarkVersionRead and then Checker.Confirm, and ActivateSnapshot replaces the
// Snapshot that requests are checked against.
package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params are the settings of a Rollout. A value of 0 takes its default.
type Params struct {
	// ReadInterval is the time after a confirmation at which the root is read again.
	ReadInterval time.Duration
	// ReadJitter is the width of the random addition to ReadInterval. Among many
	// Instances the first ones read, and their confirmations delay the others.
	ReadJitter time.Duration
	// MaxStoreReadInterval is the longest time between two reads of the root in the
	// store, so that stale confirmations of peers cannot keep this Instance from
	// reading.
	MaxStoreReadInterval time.Duration
	// CallTimeout is the time after which a read or fetch counts as failed.
	CallTimeout time.Duration
	// HedgeDelay is the time after which a peer is asked for a piece that the store
	// has not delivered.
	HedgeDelay time.Duration
	// RetryMin and RetryMax bound the delay before a retry, which doubles with each
	// failure.
	RetryMin, RetryMax time.Duration
	// MaxFetches and MaxStoreFetches bound the concurrent fetches of pieces, in total
	// and from the store.
	MaxFetches, MaxStoreFetches int
	// MaxPeerAttempts is the number of peers asked for a piece before the store.
	MaxPeerAttempts int
	// MaxStoreAttempts is the number of times that a piece is fetched from the store.
	// After that it is retried at the first confirmation of the version after RetryMax.
	MaxStoreAttempts int
	// PeerTTL is the time for which a peer is a source after its last confirmation.
	PeerTTL time.Duration
	// Random is the source of jitter and of the choice of peers. It is required.
	Random *rand.Rand
}

func (p Params) withDefaults() Params {
	// With a jitter as short as the heartbeat interval of 1 s, the spread ends before
	// most confirmations arrive, and more Instances read the root themselves.
	setDefault(&p.ReadInterval, 500*time.Millisecond)
	setDefault(&p.ReadJitter, 2*time.Second)
	setDefault(&p.MaxStoreReadInterval, 10*time.Second)
	setDefault(&p.CallTimeout, 2*time.Second)
	setDefault(&p.HedgeDelay, 300*time.Millisecond)
	setDefault(&p.RetryMin, 100*time.Millisecond)
	setDefault(&p.RetryMax, 5*time.Second)
	setDefault(&p.MaxFetches, 64)
	setDefault(&p.MaxStoreFetches, 8)
	setDefault(&p.MaxPeerAttempts, 2)
	setDefault(&p.MaxStoreAttempts, 6)
	setDefault(&p.PeerTTL, 5*time.Second)
	return p
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Source is where a root or piece comes from: a peer, or the store when Peer is
// empty.
type Source struct {
	Peer core.InstanceRef
}

// Store is the object store.
var Store = Source{}

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s == Store }

// FetchID identifies a read or fetch in progress, for OnFailure.
type FetchID struct {
	// Hash is the piece; it is zero for the root.
	Hash config.Hash
	From Source
}

// Output is an effect. The caller executes Outputs in the order in which they are
// returned.
type Output interface{ output() }

// ReadRoot reads the current root from a source. The result goes to OnRoot, a failure
// to OnFailure.
type ReadRoot struct{ From Source }

// FetchPiece fetches a piece from a source. The result goes to OnPiece, a failure to
// OnFailure.
type FetchPiece struct {
	Hash config.Hash
	From Source
}

// RevokeKey reports that a key must be refused by every Snapshot older than Version.
type RevokeKey struct {
	Account core.AccountID
	Key     core.KeyID
	Version core.Version
}

// ConfirmVersion reports that the store held Version at most Age ago and that every
// revocation up to this version was returned in a RevokeKey or is in the active
// Snapshot.
type ConfirmVersion struct {
	Version core.Version
	Age     time.Duration
}

// ActivateSnapshot replaces the active version by a complete higher one.
type ActivateSnapshot struct{ Snapshot *config.Snapshot }

// RejectVersion reports that a root or version cannot be used. The active version
// stays.
type RejectVersion struct {
	Version core.Version
	Reason  string
}

func (ReadRoot) output()         {}
func (FetchPiece) output()       {}
func (RevokeKey) output()        {}
func (ConfirmVersion) output()   {}
func (ActivateSnapshot) output() {}
func (RejectVersion) output()    {}

// Rollout is the state of the configuration on one Instance. All methods are
// called from one goroutine.
type Rollout struct {
	p    Params
	snap *config.Snapshot // the active version, nil before the first
	// target is the root of the highest version seen. It is active, being fetched, or
	// rejected.
	target config.Root
	// announced is the highest version in any confirmation or root.
	announced core.Version
	timer     rootTimer
	pieces    map[config.Hash][]byte
	// receivedPieces holds the pieces that arrived since the last activation.
	receivedPieces []config.Hash
	// unusedPieces holds the pieces that the active version does not use, with the instant at
	// which they are removed.
	unusedPieces map[config.Hash]core.Instant
	fetch        fetcher
	peers        peerSet
	// pendingConfirmation is the instant of the latest confirmation that waits for
	// ActivateSnapshot, because the root does not list every revocation.
	pendingConfirmation    core.Instant
	hasPendingConfirmation bool
	targetRejected         bool
}

// New returns a Rollout without a version. The first Tick reads the root.
func New(p Params) *Rollout {
	p = p.withDefaults()
	return &Rollout{
		p:      p,
		timer:  rootTimer{p: p},
		pieces: map[config.Hash][]byte{},

		unusedPieces: map[config.Hash]core.Instant{},

		fetch: newFetcher(p),
		peers: peerSet{known: map[core.InstanceID]peerState{}},
	}
}

// Snapshot returns the active version, or nil before the first.
func (r *Rollout) Snapshot() *config.Snapshot { return r.snap }

// Root returns the root of the highest version seen, for reads of peers. Its version
// is 0 when there is none.
func (r *Rollout) Root() config.Root { return r.target }

// Progress returns the highest version seen and the number of its pieces that are
// known to be missing, for status. A version that is not active and has no missing
// piece was rejected, or waits for a higher one that a peer has announced.
func (r *Rollout) Progress() (v core.Version, missing int) {
	return r.target.Version, len(r.fetch.missing)
}

// Piece returns a piece, for fetches of peers.
func (r *Rollout) Piece(hash config.Hash) ([]byte, bool) {
	body, ok := r.pieces[hash]
	return body, ok
}

// OnRoot handles a root that the source held age ago. For a read of the store, age is
// the time since the request was sent; for a read of a peer, it is that time plus the
// age of the peer's confirmation.
func (r *Rollout) OnRoot(now core.Instant, root config.Root, age time.Duration, from Source) []Output {
	r.timer.recordReply(now, from)
	if !from.IsStore() {
		// The peer has this root, so it has the pieces or soon will have them.
		r.peers.recordConfirmation(now, from.Peer, root.Version, r.p.PeerTTL)
	}
	outs := r.handleRoot(now, root, age)
	if !from.IsStore() && root.Version < r.announced {
		r.timer.scheduleEarlier(now)
	}
	return r.run(now, outs)
}

func (r *Rollout) handleRoot(now core.Instant, root config.Root, age time.Duration) []Output {
	if root.Version == 0 || root.Version < r.target.Version {
		return nil // a stale read confirms nothing
	}
	if root.Version == r.target.Version && !sameRoot(root, r.target) {
		return []Output{RejectVersion{root.Version, "another root has the same version"}}
	}
	var outs []Output
	if root.Version > r.target.Version {
		outs = r.setTarget(root)
	}
	return append(outs, r.confirm(now, age)...)
}

// OnConfirmation handles the version and age of a confirmation that a peer forwards. A
// version higher than any seen is read from that peer.
func (r *Rollout) OnConfirmation(now core.Instant, v core.Version, age time.Duration, peer core.InstanceRef) []Output {
	if v == 0 {
		return nil
	}
	r.peers.recordConfirmation(now, peer, v, r.p.PeerTTL)
	r.announced = max(r.announced, v)
	var outs []Output
	if v == r.target.Version {
		outs = r.confirm(now, age)
	}
	if v > r.target.Version {
		outs = r.timer.readFromPeer(now, peer, outs)
	}
	return r.run(now, outs)
}

// confirm handles a confirmation of the target version.
func (r *Rollout) confirm(now core.Instant, age time.Duration) []Output {
	r.timer.postponeAfterConfirmation(now - core.Instant(age))
	r.fetch.resumeSuspended(now)
	if r.revocationsApplied() {
		return []Output{ConfirmVersion{r.target.Version, age}}
	}
	at := now - core.Instant(age)
	if !r.hasPendingConfirmation || at > r.pendingConfirmation {
		r.pendingConfirmation, r.hasPendingConfirmation = at, true
	}
	return nil
}

// revocationsApplied reports whether every revocation up to the target version is
// applied, by the active version or by RevokeKey.
func (r *Rollout) revocationsApplied() bool {
	return r.activeVersion() == r.target.Version || r.target.HasAllRevocationsSince(r.activeVersion())
}

func (r *Rollout) activeVersion() core.Version {
	if r.snap == nil {
		return 0
	}
	return r.snap.Version()
}

// setTarget makes a higher root the target. Fetches in progress continue only for
// pieces that the new root needs too.
func (r *Rollout) setTarget(root config.Root) []Output {
	var outs []Output
	for _, revocation := range root.Revocations {
		if revocation.Version > r.activeVersion() {
			outs = append(outs, RevokeKey{revocation.Account, revocation.Key, revocation.Version})
		}
	}
	r.target = root
	r.announced = max(r.announced, root.Version)
	r.targetRejected = false
	r.hasPendingConfirmation = false
	list, err := r.missingPieces(root)
	if err != nil {
		return append(outs, r.rejectTarget(err)...)
	}
	r.fetch.replace(list)
	return outs
}

// missingPieces returns the pieces of a root that are known to be missing. The nodes
// of the active version have all their leaves.
func (r *Rollout) missingPieces(root config.Root) ([]missingPiece, error) {
	complete := map[config.Hash]bool{}
	if r.snap != nil {
		for _, node := range r.snap.Root().Nodes() {
			complete[node] = true
		}
	}
	var list []missingPiece
	for _, node := range root.Nodes() {
		if complete[node] {
			continue
		}
		body, ok := r.heldPiece(node)
		if !ok {
			list = append(list, missingPiece{node, true})
			continue
		}
		leaves, err := r.missingLeaves(body)
		if err != nil {
			return nil, err
		}
		list = append(list, leaves...)
	}
	return list, nil
}

func (r *Rollout) missingLeaves(node []byte) ([]missingPiece, error) {
	hashes, err := config.ParseNode(node)
	if err != nil {
		return nil, err
	}
	var list []missingPiece
	for _, hash := range hashes {
		if _, ok := r.heldPiece(hash); !ok {
			list = append(list, missingPiece{hash, false})
		}
	}
	return list, nil
}

// heldPiece returns a piece that the target needs. One that was to be removed counts as received,
// since the target may use it again.
func (r *Rollout) heldPiece(hash config.Hash) ([]byte, bool) {
	body, ok := r.pieces[hash]
	if _, unused := r.unusedPieces[hash]; unused {
		delete(r.unusedPieces, hash)
		r.receivedPieces = append(r.receivedPieces, hash)
	}
	return body, ok
}

// OnPiece handles a piece. A body whose hash differs counts as a failure of its
// source.
func (r *Rollout) OnPiece(now core.Instant, hash config.Hash, body []byte) []Output {
	if !r.fetch.isMissing(hash) {
		return r.run(now, nil)
	}
	if config.HashOf(body) != hash {
		r.fetch.recordFailure(now, hash)
		return r.run(now, nil)
	}
	r.pieces[hash] = body
	r.receivedPieces = append(r.receivedPieces, hash)
	if r.fetch.remove(hash) {
		leaves, err := r.missingLeaves(body)
		if err != nil {
			return r.run(now, r.rejectTarget(err))
		}
		r.fetch.add(leaves)
	}
	return r.run(now, nil)
}

// OnFailure handles the failure of a read or fetch.
func (r *Rollout) OnFailure(now core.Instant, id FetchID) []Output {
	if id.Hash == (config.Hash{}) {
		r.timer.recordFailure(now, id.From)
	} else if r.fetch.isFrom(id.Hash, id.From) {
		r.fetch.recordFailure(now, id.Hash)
	}
	return r.run(now, nil)
}

// Tick returns the Outputs that are due.
func (r *Rollout) Tick(now core.Instant) []Output { return r.run(now, nil) }

// NextWake returns when the next Tick is due.
func (r *Rollout) NextWake() core.Instant {
	return core.Earliest(r.timer.nextWake(), r.fetch.nextWake())
}

// run activates the target if it is complete, and starts the reads and fetches that
// are due.
func (r *Rollout) run(now core.Instant, outs []Output) []Output {
	outs = append(outs, r.activateIfComplete(now)...)
	r.removeUnusedPieces(now)
	outs = r.timer.run(now, outs)
	return r.fetch.run(now, &r.peers, r.target.Version, outs)
}

// activateIfComplete activates the target when no piece is missing. The first version
// after a start must not be lower than one that a peer has confirmed, as it could be
// lower than the version that was active before a restart.
func (r *Rollout) activateIfComplete(now core.Instant) []Output {
	if r.targetRejected || r.activeVersion() == r.target.Version || !r.fetch.isComplete() {
		return nil
	}
	if r.snap == nil && r.target.Version < r.announced {
		return nil
	}
	snap, err := config.CompilePieces(r.snap, r.target, r.Piece)
	if err != nil {
		return r.rejectTarget(err)
	}
	r.markUnusedPieces(now, snap)
	r.snap = snap
	outs := []Output{ActivateSnapshot{snap}}
	if r.hasPendingConfirmation {
		r.hasPendingConfirmation = false
		outs = append(outs, ConfirmVersion{r.target.Version, now.Sub(r.pendingConfirmation)})
	}
	return outs
}

func (r *Rollout) rejectTarget(err error) []Output {
	r.targetRejected = true
	r.fetch.replace(nil)
	return []Output{RejectVersion{r.target.Version, err.Error()}}
}

// markUnusedPieces marks the pieces that only former or abandoned versions use for removal after
// CallTimeout. Until then peers may be fetching them, and those that are partitioned from the store
// have no other source.
func (r *Rollout) markUnusedPieces(now core.Instant, next *config.Snapshot) {
	added, removed := next.Diff(r.snap)
	for _, hash := range append(removed, r.receivedPieces...) {
		r.unusedPieces[hash] = now.Add(r.p.CallTimeout)
	}
	for _, hash := range added {
		delete(r.unusedPieces, hash)
	}
	r.receivedPieces = nil
}

// removeUnusedPieces removes the pieces that have been unused for CallTimeout.
func (r *Rollout) removeUnusedPieces(now core.Instant) {
	for hash, removeAt := range r.unusedPieces {
		if now >= removeAt {
			delete(r.unusedPieces, hash)
			delete(r.pieces, hash)
		}
	}
}
