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

// document returns a valid document with n accounts. Documents with different rates
// differ.
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

// hookStore is a store that runs hooks before and after a write of the named object,
// and that reports an unknown outcome for writes for which losesReply returns true.
type hookStore struct {
	platform.Client
	before, after func(name string)
	losesReply    func(name string) bool
}

func (h *hookStore) Put(ctx context.Context, name string, value []byte, expectedVersion uint64) (uint64, error) {
	if h.before != nil {
		h.before(name)
	}
	version, err := h.Client.Put(ctx, name, value, expectedVersion)
	if h.after != nil {
		h.after(name)
	}
	if err == nil && h.losesReply != nil && h.losesReply(name) {
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

// Guards against a promotion that silently undoes that of another operator: B staged a
// document based on the version that A has replaced since.
func TestSecondPromoteConflicts(t *testing.T) {
	is := is.New(t)
	store := platform.NewMemoryStore()
	a := New(store)
	mustStage(t, a, document(3, 1))
	first := mustPromote(t, a)

	staged := mustStage(t, a, document(3, 2))
	// B puts a document in trial on the same base, and A promotes before B does.
	b := New(&hookStore{Client: store, before: func(name string) {
		if name == router.RootObject(Production) {
			encoded, err := store.Get(t.Context(), router.RootObject(Trial))
			is.NoErr(err)
			root, err := config.ParseRoot(encoded.Value)
			is.NoErr(err)
			production, err := store.Get(t.Context(), name)
			is.NoErr(err)
			root = root.WithVersion(staged.Version + 7)
			_, err = store.Put(t.Context(), name, root.Encode(), production.Version)
			is.NoErr(err)
		}
	}})
	mustStage(t, b, document(3, 3))
	_, err := b.Promote(t.Context())
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Tried, first.Version)
	is.Equal(conflict.Current, staged.Version+7)
	is.Equal(exitCode(err), ExitConflict)
	is.True(strings.Contains(err.Error(), fmt.Sprint("version ", conflict.Tried)))
	is.True(strings.Contains(err.Error(), fmt.Sprint("version ", conflict.Current)))
	_, version, err := a.Document(t.Context(), Production)
	is.NoErr(err)
	is.Equal(version, staged.Version+7) // A's promotion is unchanged
}

// Guards against an operator who unknowingly promotes another operator's document: A
// stages, B stages, A promotes its version, B promotes its version.
func TestPromoteOfReplacedTrialConflicts(t *testing.T) {
	is := is.New(t)
	store := platform.NewMemoryStore()
	a, b := New(store), New(store)
	stagedA := mustStage(t, a, document(2, 1))
	stagedB := mustStage(t, b, document(2, 2))
	_, err := a.PromoteVersion(t.Context(), stagedA.Version)
	var conflict *TrialConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, TrialConflictError{Asked: stagedA.Version, Trial: stagedB.Version})
	is.Equal(exitCode(err), ExitConflict)
	result, err := b.PromoteVersion(t.Context(), stagedB.Version)
	is.NoErr(err)
	is.Equal(result.Version, stagedB.Version)
	stagedC := mustStage(t, a, document(2, 3))
	retried, err := b.PromoteVersion(t.Context(), stagedB.Version) // B retries the command
	is.NoErr(err)
	is.Equal(retried.Version, stagedB.Version)
	mustPromote(t, a)
	mustStage(t, a, document(2, 4))
	retried, err = b.PromoteVersion(t.Context(), stagedB.Version)
	is.NoErr(err)
	is.Equal(retried.ReplacedBy, stagedC.Version)
}

// Guards against concurrent promotions of which both, or neither, report success, and
// against a promoted version without a history entry.
func TestConcurrentOperators(t *testing.T) {
	for round := range 30 {
		store := platform.NewMemoryStore()
		mustStage(t, New(store), document(2, 1))
		mustPromote(t, New(store))
		var wg sync.WaitGroup
		versions := make([]core.Version, 2)
		for i := range versions {
			wg.Go(func() {
				op := New(store)
				if _, err := op.StageTrial(t.Context(), document(2, int64(10+i))); err != nil {
					return
				}
				if result, err := op.Promote(t.Context()); err == nil {
					versions[i] = result.Version
				}
			})
		}
		wg.Wait()
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

// Guards against a promotion with an unknown outcome that is reported as failed, or as
// a conflict after another operator has replaced it.
func TestLostReplyIsResolved(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced=", replaced), func(t *testing.T) {
			is := is.New(t)
			store := platform.NewMemoryStore()
			other := New(store)
			lossyStore := &hookStore{Client: store, losesReply: func(string) bool { return true }}
			lossyStore.after = func(name string) {
				if replaced && name == router.RootObject(Production) {
					mustStage(t, other, document(3, 9))
					mustPromote(t, other)
				}
			}
			op := New(lossyStore)
			staged := mustStage(t, op, document(3, 1))
			result := mustPromote(t, op)
			is.Equal(result.Version, staged.Version)
			is.Equal(result.ReplacedBy != 0, replaced)
			history, err := other.History(t.Context(), 10)
			is.NoErr(err)
			is.Equal(history[len(history)-1].Version, staged.Version)
		})
	}
}

// Guards against staging that writes, or attempts to write, pieces that the store has,
// or reads pieces that the new document contains: at the target size each trial would
// cost thousands of calls.
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

// Guards against a rollback that makes a revoked or removed key valid again.
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
	current, _, err := op.Document(t.Context(), Production)
	is.NoErr(err)
	is.Equal(current.Accounts[0].RateTokensPerSecond, int64(1))
	is.True(current.Accounts[0].Keys[0].Revoked)
	is.True(current.Accounts[1].Keys[0].Revoked)
	is.True(!current.Accounts[2].Keys[0].Revoked)
	_, err = op.Rollback(t.Context(), 99)
	is.True(err != nil)
}
