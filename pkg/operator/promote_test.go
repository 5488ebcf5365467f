package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/objectstore"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// document returns a valid document with n accounts; rate tells documents apart.
func document(n int, rate int64) *config.Document {
	doc := &config.Document{
		Environment:        "test",
		StoreRegion:        "north",
		DataCentres:        []config.DataCentre{{Name: "north-a", Region: "north", LinkMbps: 100}},
		UpstreamCredential: "credential",
		Services: []config.Service{{
			Name: "orders", Kind: config.ServicePlain, PartitionPolicy: config.PartitionRefuse, Policy: config.PolicyFair,
			Routes:    []config.Route{{Path: "/call", Methods: []string{"POST"}, CostTokens: 1}},
			Upstreams: []config.Upstream{{ID: "orders-1", URL: "http://127.0.0.1:9", Role: config.RolePlain, DataCentre: "north-a"}},
		}},
	}
	for i := range n {
		key := config.Key{ID: "k1", Salt: config.Salt{byte(i), byte(i >> 8), 1}, Digest: config.Digest{byte(i), byte(i >> 8), 2}}
		doc.Accounts = append(doc.Accounts, config.ClientAccount{
			ID: core.AccountID(fmt.Sprintf("acct-%05d", i)), Weight: 1, RateTokensPerSecond: rate, BurstTokens: 1000,
			Services: []core.ServiceName{"orders"}, Keys: []config.Key{key},
		})
	}
	return doc
}

func mustStage(t *testing.T, op *Operator, doc *config.Document) Result {
	t.Helper()
	result, err := op.StageTrial(t.Context(), doc)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func mustPromote(t *testing.T, op *Operator) Result {
	t.Helper()
	result, err := op.Promote(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// hookStore is a store whose writes can lose their answer, and that runs a hook
// before or after a write of the named object.
type hookStore struct {
	platform.Client
	before, after func(name string)
	losesReply    func(name string) bool
}

func (h *hookStore) Put(ctx context.Context, name string, value []byte, base uint64) (uint64, error) {
	if h.before != nil {
		h.before(name)
	}
	version, err := h.Client.Put(ctx, name, value, base)
	if h.after != nil {
		h.after(name)
	}
	if err == nil && h.losesReply != nil && h.losesReply(name) {
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

// Guards against a promotion that silently undoes the one of another operator:
// B tried on the version that A has replaced since.
func TestSecondPromoteConflicts(t *testing.T) {
	is := is.New(t)
	store := platform.NewMemoryStore()
	a := New(store)
	mustStage(t, a, document(3, 1))
	first := mustPromote(t, a)

	tried := mustStage(t, a, document(3, 2))
	// B puts a document in trial on the same base, and A promotes before B does.
	b := New(&hookStore{Client: store, before: func(name string) {
		if name == router.RootObject(Production) {
			encoded, err := store.Get(t.Context(), router.RootObject(Trial))
			is.NoErr(err)
			root, err := config.ParseRoot(encoded.Value)
			is.NoErr(err)
			production, err := store.Get(t.Context(), name)
			is.NoErr(err)
			root = root.WithVersion(tried.Version + 7)
			_, err = store.Put(t.Context(), name, root.Encode(), production.Version)
			is.NoErr(err)
		}
	}})
	mustStage(t, b, document(3, 3))
	_, err := b.Promote(t.Context())
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Tried, first.Version)
	is.Equal(conflict.Current, tried.Version+7)
	is.Equal(exitCode(err), ExitConflict)
	is.True(strings.Contains(err.Error(), fmt.Sprint("version ", conflict.Tried)))
	is.True(strings.Contains(err.Error(), fmt.Sprint("version ", conflict.Current)))
	_, version, err := a.Document(t.Context(), Production)
	is.NoErr(err)
	is.Equal(version, tried.Version+7) // A's promotion stands
}

// Guards against an operator who promotes the other one's document unawares: A
// tries, B tries, A promotes its version, B promotes its version.
func TestPromoteOfReplacedTrialConflicts(t *testing.T) {
	is := is.New(t)
	store := platform.NewMemoryStore()
	a, b := New(store), New(store)
	triedA := mustStage(t, a, document(2, 1))
	triedB := mustStage(t, b, document(2, 2))
	_, err := a.PromoteVersion(t.Context(), triedA.Version)
	var conflict *TrialConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, TrialConflictError{Asked: triedA.Version, Trial: triedB.Version})
	is.Equal(exitCode(err), ExitConflict)
	result, err := b.PromoteVersion(t.Context(), triedB.Version)
	is.NoErr(err)
	is.Equal(result.Version, triedB.Version)
	triedC := mustStage(t, a, document(2, 3))
	again, err := b.PromoteVersion(t.Context(), triedB.Version) // B repeats the command
	is.NoErr(err)
	is.Equal(again.Version, triedB.Version)
	mustPromote(t, a)
	mustStage(t, a, document(2, 4))
	again, err = b.PromoteVersion(t.Context(), triedB.Version)
	is.NoErr(err)
	is.Equal(again.ReplacedBy, triedC.Version)
}

// Guards against two operators of whom both, or neither, believe to have
// promoted, and against a version without a history entry.
func TestConcurrentOperators(t *testing.T) {
	for round := range 30 {
		store := platform.NewMemoryStore()
		mustStage(t, New(store), document(2, 1))
		mustPromote(t, New(store))
		var wait sync.WaitGroup
		versions := make([]core.Version, 2)
		for i := range versions {
			wait.Go(func() {
				op := New(store)
				if _, err := op.StageTrial(t.Context(), document(2, int64(10+i))); err != nil {
					return
				}
				if result, err := op.Promote(t.Context()); err == nil {
					versions[i] = result.Version
				}
			})
		}
		wait.Wait()
		_, current, err := New(store).Document(t.Context(), Production)
		if err != nil {
			t.Fatal(err)
		}
		history, err := New(store).History(t.Context(), 10)
		if err != nil {
			t.Fatal(err)
		}
		recorded := map[core.Version]bool{}
		for _, entry := range history {
			recorded[entry.Version] = true
		}
		for _, version := range append(versions, current) {
			if version != 0 && !recorded[version] {
				t.Fatalf("round %d: version %d was promoted and is not in the history %v", round, version, recorded)
			}
		}
	}
}

// Guards against a promotion whose answer was lost and that is reported as
// failed, or as a conflict once another operator has replaced it.
func TestLostReplyIsResolved(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced=", replaced), func(t *testing.T) {
			is := is.New(t)
			store := platform.NewMemoryStore()
			other := New(store)
			lossy := &hookStore{Client: store, losesReply: func(string) bool { return true }}
			lossy.after = func(name string) {
				if replaced && name == router.RootObject(Production) {
					mustStage(t, other, document(3, 9))
					mustPromote(t, other)
				}
			}
			op := New(lossy)
			tried := mustStage(t, op, document(3, 1))
			result := mustPromote(t, op)
			is.Equal(result.Version, tried.Version)
			is.Equal(result.ReplacedBy != 0, replaced)
			history, err := other.History(t.Context(), 10)
			is.NoErr(err)
			is.Equal(history[len(history)-1].Version, tried.Version)
		})
	}
}

// Guards against a trial that writes, or tries to write, pieces that the store
// holds, or reads pieces that the document has itself: at the target size every
// try would cost thousands of calls.
func TestTrialWritesOnlyWhatIsMissing(t *testing.T) {
	is := is.New(t)
	store := objectstore.New(objectstore.Options{Seed: 1})
	web := httptest.NewServer(store)
	defer web.Close()
	op := New(platform.NewHTTP(web.URL, platform.Options{}))
	mustStage(t, op, document(27_000, 100))
	mustPromote(t, op)
	before := store.Counters()
	doc := document(27_000, 100)
	doc.Accounts[500].RateTokensPerSecond = 200
	result := mustStage(t, op, doc)
	after := store.Counters()
	t.Logf("one account of 27,000: %d write calls, %d conflicts, %d reads, %d bytes, %d pieces written",
		after.Writes-before.Writes, after.Conflicts-before.Conflicts, after.Reads-before.Reads,
		after.WrittenBytes-before.WrittenBytes, result.Pieces)
	is.Equal(after.Conflicts, before.Conflicts)
	is.True(after.Writes-before.Writes <= 6) // leaf, node, base, root
	is.True(after.Reads-before.Reads <= 8)   // both roots, old leaf and node, base
	is.Equal(result.Pieces, 2)
}

// Guards against a rollback that makes a revoked or removed key work again.
func TestRollbackKeepsKeysRevoked(t *testing.T) {
	is := is.New(t)
	op := New(platform.NewMemoryStore())
	mustStage(t, op, document(3, 1))
	first := mustPromote(t, op)
	doc := document(3, 2)
	doc.Accounts[0].Keys[0].Revoked = true
	doc.Accounts[1].Keys = nil
	mustStage(t, op, doc)
	second := mustPromote(t, op)
	result, err := op.Rollback(t.Context(), first.Version)
	is.NoErr(err)
	is.True(result.Version > second.Version)
	is.Equal(result.RevokedKeys, []string{"acct-00000.k1", "acct-00001.k1"})
	mustPromote(t, op)
	now, _, err := op.Document(t.Context(), Production)
	is.NoErr(err)
	is.Equal(now.Accounts[0].RateTokensPerSecond, int64(1))
	is.True(now.Accounts[0].Keys[0].Revoked)
	is.True(now.Accounts[1].Keys[0].Revoked)
	is.True(!now.Accounts[2].Keys[0].Revoked)
	_, err = op.Rollback(t.Context(), 99)
	is.True(err != nil)
}
