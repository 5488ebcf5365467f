package rollout

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const s = time.Second

// history is a sequence of versions. Each version changes a rate, revokes a key and
// adds an account.
type history struct {
	roots  []config.Root // roots[v] is version v; roots[0] is empty
	pieces map[config.Hash][]byte
}

func newHistory(versions, accounts int) history {
	h := history{roots: []config.Root{{}}, pieces: map[config.Hash][]byte{}}
	var prev *config.Document
	for v := range versions {
		doc := &config.Document{
			Environment: "test", StoreRegion: "near",
			Services: []config.Service{{Name: "desk", Kind: config.ServicePlain}},
		}
		for i := range accounts + v {
			doc.Accounts = append(doc.Accounts, account(i, v))
		}
		root, pieces := config.NextVersion(h.roots[v], prev, doc)
		maps.Copy(h.pieces, pieces)
		h.roots = append(h.roots, root)
		prev = doc
	}
	return h
}

// account returns account i in version v+1, whose key is revoked from version
// i+2 on.
func account(i, v int) config.ClientAccount {
	a := config.ClientAccount{
		ID: core.AccountID(fmt.Sprintf("account-%04d", i)), Weight: 1, RateTokensPerSecond: 100, BurstTokens: 4000,
		Services: []core.ServiceName{"desk"},
		Keys:     []config.Key{{ID: "old", Digest: config.Digest{byte(i)}, Revoked: i < v}},
	}
	if i == v {
		a.RateTokensPerSecond++
	}
	for k := range 4 {
		a.Keys = append(a.Keys, config.Key{ID: core.KeyID(fmt.Sprint("k", k)), Digest: config.Digest{byte(i), byte(k)}})
	}
	return a
}

func newRollout() *Rollout { return New(Params{Random: rand.New(rand.NewPCG(1, 2))}) }

func at(d time.Duration) core.Instant { return core.Instant(d) }

func peer(n int) core.InstanceRef {
	return core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%d", n)), Incarnation: 1}
}

// outputs returns the Outputs of one type.
func outputs[T Output](outs []Output) []T {
	var list []T
	for _, out := range outs {
		if o, ok := out.(T); ok {
			list = append(list, o)
		}
	}
	return list
}

// deliverPieces delivers the piece of every FetchPiece, up to the limit if it is not
// negative, until none is left. It returns all Outputs.
func deliverPieces(r *Rollout, now core.Instant, h history, outs []Output, limit int) []Output {
	all := outs
	for queue := outputs[FetchPiece](outs); len(queue) > 0 && limit != 0; limit-- {
		next := r.OnPiece(now, queue[0].Hash, h.pieces[queue[0].Hash])
		all = append(all, next...)
		queue = append(queue[1:], outputs[FetchPiece](next)...)
	}
	return all
}

// Guards against a revocation that waits for the complete version, a grant that does
// not, and an incomplete version that is activated after a higher root.
func TestHigherRootReplacesFetch(t *testing.T) {
	is := is.New(t)
	h := newHistory(3, 40)
	r := newRollout()
	outs := deliverPieces(r, 0, h, r.OnRoot(0, h.roots[1], 0, Store), -1)
	is.Equal(outputs[ActivateSnapshot](outs)[0].Snapshot.Version(), core.Version(1))
	outs = r.OnRoot(at(s), h.roots[2], 0, Store)
	is.Equal(outputs[RevokeKey](outs), []RevokeKey{{"account-0000", "old", 2}})
	is.Equal(outputs[ConfirmVersion](outs), []ConfirmVersion{{2, 0}})
	is.Equal(len(outputs[ActivateSnapshot](outs)), 0)
	late := outputs[FetchPiece](outs)
	deliverPieces(r, at(s), h, outs, 1)
	outs = r.OnRoot(at(2*s), h.roots[3], 0, Store)
	is.Equal(outputs[RevokeKey](outs), []RevokeKey{{"account-0001", "old", 3}, {"account-0000", "old", 2}})
	for _, f := range late {
		is.Equal(len(outputs[ActivateSnapshot](r.OnPiece(at(2*s), f.Hash, h.pieces[f.Hash]))), 0)
	}
	is.Equal(r.Snapshot().Version(), core.Version(1))
	v, missing := r.Progress()
	is.True(v == 3 && missing > 0)
	outs = deliverPieces(r, at(2*s), h, append(outs, r.Tick(at(5*s))...), -1)
	is.Equal(outputs[ActivateSnapshot](outs)[0].Snapshot.Version(), core.Version(3))
	is.True(len(r.pieces) > len(r.Snapshot().Pieces())) // peers may be fetching those of former versions
	r.Tick(at(2 * s).Add(r.p.CallTimeout))
	is.Equal(len(r.pieces), len(r.Snapshot().Pieces())) // which are then removed
}

// Guards against a lower version from a stale read of the store or a peer, another
// root with the same version, and a first version below one that a peer has confirmed.
func TestStaleRoots(t *testing.T) {
	is := is.New(t)
	h := newHistory(4, 5)
	r := newRollout()
	r.OnConfirmation(0, 2, 0, peer(1))
	outs := deliverPieces(r, 0, h, r.OnRoot(0, h.roots[1], 0, Store), -1)
	is.Equal(len(outputs[ActivateSnapshot](outs)), 0) // version 2 is known to exist
	r.OnRoot(0, h.roots[1], 0, Source{Peer: peer(1)})
	is.True(r.timer.dueAt <= at(r.p.RetryMin)) // the peer did not deliver version 2
	outs = deliverPieces(r, 0, h, r.OnRoot(0, h.roots[2], 0, Source{Peer: peer(1)}), -1)
	is.Equal(len(outputs[ActivateSnapshot](outs)), 1)
	for _, stale := range []Source{Store, {Peer: peer(1)}} {
		outs = r.OnRoot(at(s), h.roots[1], 0, stale)
		is.Equal(len(outputs[ActivateSnapshot](outs))+len(outputs[ConfirmVersion](outs))+len(outputs[FetchPiece](outs)), 0)
	}
	other := h.roots[2]
	other.Accounts = h.roots[4].Accounts
	is.Equal(len(outputs[RejectVersion](r.OnRoot(at(s), other, 0, Store))), 1)
	is.Equal(r.Snapshot().Version(), core.Version(2))
}

// Guards against a confirmation that covers revocations which only the complete
// version contains.
func TestTruncatedRevocations(t *testing.T) {
	is := is.New(t)
	h := newHistory(4, 5)
	r := newRollout()
	deliverPieces(r, 0, h, r.OnRoot(0, h.roots[1], 0, Store), -1)
	root := h.roots[4]
	root.Revocations, root.RevocationsSince = root.Revocations[:1], 3
	outs := r.OnRoot(at(s), root, 0, Store)
	is.Equal(len(outputs[ConfirmVersion](outs)), 0)
	outs = deliverPieces(r, at(2*s), h, outs, -1)
	is.Equal(outputs[ConfirmVersion](outs), []ConfirmVersion{{4, s}})
}

// Guards against a store that is asked before the peers, a fetch that is never
// retried, and one that is retried without bound or without a delay.
func TestSourcesAndRetries(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, 1)
	r := newRollout()
	for n := range 4 {
		r.OnConfirmation(0, 1, 0, peer(n))
	}
	queue := outputs[FetchPiece](r.OnRoot(0, h.roots[1], 0, Store))
	hash := queue[0].Hash
	var sources []Source
	var storeFetches []core.Instant
	now := core.Instant(0)
	for now < at(60*s) {
		for i := 0; i < len(queue); i++ {
			if queue[i].Hash != hash {
				continue
			}
			if sources = append(sources, queue[i].From); queue[i].From.IsStore() {
				storeFetches = append(storeFetches, now)
			}
			queue = append(queue, outputs[FetchPiece](r.OnFailure(now, FetchID{hash, queue[i].From}))...)
		}
		now = r.NextWake()
		queue = outputs[FetchPiece](r.Tick(now))
	}
	is.True(!sources[0].IsStore() && sources[0] != sources[1])
	is.True(!sources[1].IsStore() && sources[2].IsStore())
	is.Equal(len(slices.Compact(storeFetches)), r.p.MaxStoreAttempts) // at different times; then only a confirmation resumes
	queue = outputs[FetchPiece](r.OnRoot(at(90*s), h.roots[1], 0, Store))
	is.True(len(queue) > 0 && queue[0].From.IsStore()) // no peer has confirmed recently
}

// Guards against heartbeats that restart the retries of a missing piece.
func TestRetriesUnderConfirmations(t *testing.T) {
	r := newRollout()
	fetches := outputs[FetchPiece](r.OnRoot(0, newHistory(1, 1).roots[1], 0, Store))
	count := 0
	for now := core.Instant(0); now < at(60*s); now = now.Add(s / 20) {
		for _, f := range fetches {
			count++
			r.OnFailure(now, FetchID(f))
		}
		fetches = outputs[FetchPiece](r.OnConfirmation(now, 1, 0, core.InstanceRef{}))
	}
	if bound := 2 * r.p.MaxStoreAttempts * int(60*s/r.p.RetryMax); count > bound {
		t.Errorf("%d fetches in a minute, want at most %d", count, bound)
	}
}

// Guards against a lost reply after which the root is never read again.
func TestLostReads(t *testing.T) {
	is := is.New(t)
	r := newRollout()
	is.Equal(outputs[ReadRoot](r.Tick(0)), []ReadRoot{{Store}})
	is.Equal(outputs[ReadRoot](r.OnConfirmation(0, 1, 0, peer(1))), []ReadRoot{{Source{Peer: peer(1)}}})
	r.Tick(at(2 * s))
	is.True(r.NextWake() > at(2*s) && r.NextWake() < at(3*s))
	is.Equal(outputs[ReadRoot](r.Tick(r.NextWake())), []ReadRoot{{Store}})
	is.Equal(outputs[ReadRoot](r.OnConfirmation(at(3*s), 1, 0, peer(2))), []ReadRoot{{Source{Peer: peer(2)}}})
}

// Guards against stale confirmations of peers that keep an Instance from reading the
// root in the store.
func TestStoreReadsContinueUnderConfirmations(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, 1)
	r := newRollout()
	r.Tick(0)
	deliverPieces(r, 0, h, r.OnRoot(0, h.roots[1], 0, Store), -1)
	reads := 0
	for now := core.Instant(0); now <= at(r.p.MaxStoreReadInterval); now = now.Add(s / 10) {
		reads += len(outputs[ReadRoot](append(r.OnConfirmation(now, 1, 0, peer(1)), r.Tick(now)...)))
	}
	is.Equal(reads, 1)
}

// Guards against a piece whose hash differs, and a piece that cannot be parsed: the
// active version must stay.
func TestBadPieces(t *testing.T) {
	is := is.New(t)
	h := newHistory(2, 5)
	r := newRollout()
	deliverPieces(r, 0, h, r.OnRoot(0, h.roots[1], 0, Store), -1)
	outs := r.OnRoot(0, h.roots[2], 0, Store)
	fetch := outputs[FetchPiece](outs)[0]
	is.Equal(len(outputs[ActivateSnapshot](r.OnPiece(0, fetch.Hash, []byte("[]")))), 0)
	is.True(r.fetch.isMissing(fetch.Hash))
	body := []byte(`{"not": "a node"}`)
	root := h.roots[2]
	root.Version, root.Accounts = 3, []config.Hash{config.HashOf(body)}
	r.OnRoot(0, root, 0, Store)
	outs = r.OnPiece(0, config.HashOf(body), body)
	is.Equal(outputs[RejectVersion](outs)[0].Version, core.Version(3))
	is.Equal(r.Snapshot().Version(), core.Version(1))
	root = h.roots[2]
	root.Version = 4
	outs = deliverPieces(r, at(3*s), h, append(r.OnRoot(at(3*s), root, 0, Store), r.Tick(at(3*s))...), -1)
	is.Equal(outputs[ActivateSnapshot](outs)[0].Snapshot.Version(), core.Version(4))
}

func BenchmarkChange27000(b *testing.B) {
	h := newHistory(2, 27_000)
	base := newRollout()
	deliverPieces(base, 0, h, base.OnRoot(0, h.roots[1], 0, Store), -1)
	for b.Loop() {
		b.StopTimer()
		r := *base
		r.pieces = maps.Clone(base.pieces)
		r.fetch = newFetcher(r.p)
		b.StartTimer()
		outs := deliverPieces(&r, at(s), h, r.OnRoot(at(s), h.roots[2], 0, Store), -1)
		if len(outputs[ActivateSnapshot](outs)) != 1 {
			b.Fatal("version 2 is not active")
		}
	}
}

// Guards against a version that is rejected because a piece that it uses again was removed while
// its other pieces were fetched.
func TestPieceThatIsUsedAgainIsKept(t *testing.T) {
	is := is.New(t)
	h := newHistory(4, 40)
	r := newRollout()
	deliverPieces(r, 0, h, r.OnRoot(0, h.roots[1], 0, Store), -1)
	deliverPieces(r, at(s), h, r.OnRoot(at(s), h.roots[2], 0, Store), -1)
	is.Equal(r.Snapshot().Version(), core.Version(2))
	again := h.roots[1]
	again.Version = 3
	for hash := range r.unusedPieces {
		r.heldPiece(hash) // as for a target that uses it
	}
	r.Tick(at(20 * s))
	for _, hash := range r.receivedPieces {
		_, held := r.Piece(hash)
		is.True(held)
	}
	is.True(len(r.receivedPieces) > 0)
	outs := deliverPieces(r, at(20*s), h, r.OnRoot(at(20*s), again, 0, Store), -1)
	is.Equal(len(outputs[RejectVersion](outs)), 0)
	is.Equal(r.Snapshot().Version(), core.Version(3))
	r.Tick(at(60 * s))
	is.Equal(len(r.pieces), len(r.Snapshot().Pieces()))
}
