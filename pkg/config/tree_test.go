package config

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"pgregory.net/rapid"
)

// sizedDocument returns a document with the given number of accounts of two keys
// each.
func sizedDocument(accounts int) *Document {
	doc, findings := Parse("test.jsonc", []byte(valid))
	if len(findings) > 0 {
		panic(findings)
	}
	doc.Accounts = nil
	for i := range accounts {
		doc.Accounts = append(doc.Accounts, sizedAccount(i))
	}
	return doc
}

func sizedAccount(i int) ClientAccount {
	return ClientAccount{
		ID: core.AccountID(fmt.Sprintf("account-%05d", i)), Weight: 1 + i%7,
		RateTokensPerSecond: int64(100 + i), BurstTokens: 40_000,
		Services: []core.ServiceName{"llm", "desk"},
		Keys:     []Key{sizedKey(i, 1), sizedKey(i, 2)},
	}
}

func sizedKey(account, n int) Key {
	key := Key{ID: core.KeyID(fmt.Sprintf("key-%d", n))}
	random := rand.New(rand.NewPCG(uint64(account), uint64(n)))
	binary.LittleEndian.PutUint64(key.Salt[:], random.Uint64())
	key.Digest = sha256.Sum256(key.Salt[:])
	return key
}

// changes are the edits of one account of a large document.
var changes = []struct {
	name  string
	apply func(*Document)
}{
	{"rate", func(d *Document) { d.Accounts[12_345].RateTokensPerSecond++ }},
	{"revoked key", func(d *Document) { d.Accounts[7].Keys = []Key{d.Accounts[7].Keys[1]} }},
	{"new account", func(d *Document) { d.Accounts = append(d.Accounts, sizedAccount(99_999)) }},
	{"account gone", func(d *Document) { d.Accounts = slices.Delete(d.Accounts, 500, 501) }},
}

// bytesToFetch returns the number of bytes that an Instance with the old pieces must
// fetch.
func bytesToFetch(old map[Hash][]byte, root Root, pieces map[Hash][]byte) int {
	total := len(root.Encode())
	for hash, body := range pieces {
		if _, exists := old[hash]; !exists {
			total += len(body)
		}
	}
	return total
}

// Guards against a change of one account among 27,000 for which an Instance fetches
// more than 12 KB, its budget of control traffic for one change.
func TestChangeFetchesFewBytes(t *testing.T) {
	before := sizedDocument(27_000)
	oldRoot, oldPieces := Split(before)
	for range minRevocations {
		oldRoot.Revocations = append(oldRoot.Revocations, Revocation{"account-00000", "key-1", 1})
	}
	for _, change := range changes {
		after := sizedDocument(27_000)
		change.apply(after)
		root, pieces := NextVersion(oldRoot, before, after)
		if got := bytesToFetch(oldPieces, root, pieces); got > 12*1024 {
			t.Errorf("%s: %d bytes, want at most %d", change.name, got, 12*1024)
		}
	}
}

// Guards against an incremental compilation whose result differs from a full one,
// pieces that depend on the order of the document, and a document that Assemble changes.
func TestIncrementalCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := sizedDocument(rapid.SampledFrom([]int{0, 1, 5, 60, 60, 900}).Draw(t, "accounts"))
		snap := Compile(doc, 1)
		for v := core.Version(2); v <= 3; v++ {
			editDocument(t, doc)
			root, pieces := Split(doc)
			root.Version = v
			get := func(h Hash) ([]byte, bool) { b, ok := pieces[h]; return b, ok }
			next, err := CompilePieces(snap, root, get)
			if err != nil {
				t.Fatalf("compile: %v", err)
			}
			full := Compile(doc, v)
			if !reflect.DeepEqual(next.accounts, full.accounts) || !reflect.DeepEqual(next.tables, full.tables) {
				t.Fatalf("incremental and full Snapshot differ")
			}
			assembled, err := Assemble(root, get)
			if err != nil {
				t.Fatalf("assemble: %v", err)
			}
			again, _ := Split(assembled)
			if again.Version = v; !reflect.DeepEqual(again, root) {
				t.Fatalf("assembled document has another root")
			}
			checkLookups(t, next, doc)
			snap = next
		}
	})
}

func editDocument(t *rapid.T, doc *Document) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	random.Shuffle(len(doc.Accounts), func(i, j int) {
		doc.Accounts[i], doc.Accounts[j] = doc.Accounts[j], doc.Accounts[i]
	})
	for range random.IntN(4) {
		switch i := random.IntN(len(doc.Accounts) + 1); {
		case i == len(doc.Accounts):
			doc.Accounts = append(doc.Accounts, sizedAccount(10_000+random.IntN(1<<30)))
		case random.IntN(2) == 0:
			doc.Accounts[i].BurstTokens++
		default:
			doc.Accounts = slices.Delete(doc.Accounts, i, i+1)
		}
	}
	doc.Services[0].Upstreams[1].Slots = 1 + random.IntN(3)
}

func checkLookups(t *rapid.T, snap *Snapshot, doc *Document) {
	for i := range doc.Accounts {
		want := &doc.Accounts[i]
		got, _ := snap.Account(want.ID)
		if key, ok := snap.Key(want.ID, "key-2"); !ok || *key != want.Keys[1] || !reflect.DeepEqual(got, want) {
			t.Fatalf("account %q: got %v and key %v", want.ID, got, key)
		}
	}
	if _, ok := snap.Account("absent"); ok {
		t.Fatalf("absent account found")
	}
	if service, up, ok := snap.Upstream("d1"); !ok || service.Name != "llm" || up.Slots != doc.Services[0].Upstreams[1].Slots {
		t.Fatalf("upstream: got %v of %v", up, service)
	}
}

// Guards against a change of one account for which more than its node and its leaf is
// decoded.
func TestUnchangedLeavesAreShared(t *testing.T) {
	is := is.New(t)
	doc := sizedDocument(2000)
	before := Compile(doc, 1)
	doc.Accounts[1234].Weight++
	root, pieces := Split(doc)
	decoded := 0
	after, err := CompilePieces(before, root, func(h Hash) ([]byte, bool) {
		decoded++
		return pieces[h], true
	})
	is.NoErr(err)
	is.Equal(decoded, 2) // a node and a leaf
	is.True(before.tables == after.tables)
}

// Guards against a request that matches a route of another path or method, and against
// a public prefix through which a request reaches a path that requires a key.
func TestPlainRoute(t *testing.T) {
	snap := Compile(sizedDocument(0), 1)
	cases := map[string]string{
		"GET /desk/jobs": "/desk/jobs", "POST /desk/jobs": "", "GET /desk/jobs/": "", "GET /desk//jobs": "", "GET ": "",
		"GET /desk/open/a/b": "/desk/open/*", "GET /desk/open/": "/desk/open/*", "GET /desk/open": "",
		"GET /desk/open/../jobs": "", "GET /desk/open/%2e%2E/jobs": "", "GET /desk/open/..%2fjobs": "",
		"GET /desk/open/%252e%252e/jobs": "", "GET /desk/open/..;/jobs": "", `GET /desk/open/..\jobs`: "",
	}
	for request, want := range cases {
		method, path, _ := strings.Cut(request, " ")
		_, route, ok := snap.PlainRoute(method, path)
		if ok != (want != "") || (ok && route.Path != want) {
			t.Errorf("%s: got %v, want %q", request, route, want)
		}
	}
}

// Guards against a root that drops a revocation while HasAllRevocationsSince still
// reports that the list is complete.
func TestRevocationsInRoot(t *testing.T) {
	is := is.New(t)
	doc := sizedDocument(50)
	root, _ := NextVersion(Root{}, nil, doc)
	is.Equal(root.Version, core.Version(1))
	var all []Revocation
	for i := range 50 {
		next := sizedDocument(50)
		next.Accounts[i].Keys = next.Accounts[i].Keys[1:]
		nextRoot, _ := NextVersion(root, doc, next)
		all = append(all, nextRoot.Revocations[0])
		is.Equal(nextRoot.Revocations[0], Revocation{doc.Accounts[i].ID, "key-1", nextRoot.Version})
		for _, r := range all {
			listed := slices.Contains(nextRoot.Revocations, r)
			is.True(listed || !nextRoot.HasAllRevocationsSince(r.Version-1))
		}
		root = nextRoot
		root.Revocations = slices.DeleteFunc(root.Revocations, func(r Revocation) bool { return !slices.Contains(all, r) })
		doc = sizedDocument(50)
	}
	is.Equal(len(root.Revocations), minRevocations)
	revoked := sizedDocument(50)
	revoked.Accounts[0].Keys[0].Revoked = true
	again, _ := NextVersion(root, doc, revoked)
	is.Equal(again.Revocations[0].Key, core.KeyID("key-1"))
}

// Guards against a configuration that is compiled from missing, truncated or mismatched
// pieces.
func TestInvalidPiecesAreRejected(t *testing.T) {
	doc := sizedDocument(300)
	root, pieces := Split(doc)
	rapid.Check(t, func(t *rapid.T) {
		hashes := slices.SortedFunc(maps.Keys(pieces), func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
		invalid := rapid.SampledFrom(hashes).Draw(t, "piece")
		body := rapid.SampledFrom([]string{"missing", "", "[]", "null", "{}", "[{]"}).Draw(t, "body")
		_, err := CompilePieces(nil, root, func(h Hash) ([]byte, bool) {
			if h == invalid {
				return []byte(body), body != "missing"
			}
			return pieces[h], true
		})
		mismatched := maps.Clone(pieces)
		mismatched[invalid] = append([]byte{' '}, pieces[invalid]...)
		if _, err := Assemble(root, func(h Hash) ([]byte, bool) { return mismatched[h], true }); err == nil {
			t.Fatalf("Assemble accepted a piece that does not match its hash")
		}
		if _, err := Fetch(root, func(h Hash) ([]byte, error) { return mismatched[h], nil }); err == nil {
			t.Fatalf("Fetch accepted a piece that does not match its hash")
		}
		if got, err := Fetch(root, func(h Hash) ([]byte, error) { return pieces[h], nil }); err != nil || len(got) != len(pieces) {
			t.Fatalf("Fetch returned %d pieces and %v, want %d", len(got), err, len(pieces))
		}
		if err == nil {
			t.Fatalf("CompilePieces accepted a piece with body %q", body)
		}
	})
}

func BenchmarkChange27000(b *testing.B) {
	before := sizedDocument(27_000)
	oldRoot, oldPieces := Split(before)
	prev := Compile(before, 1)
	for _, change := range changes {
		after := sizedDocument(27_000)
		change.apply(after)
		root, pieces := NextVersion(oldRoot, before, after)
		get := func(h Hash) ([]byte, bool) { p, ok := pieces[h]; return p, ok }
		b.Run(change.name, func(b *testing.B) {
			for b.Loop() {
				if _, err := CompilePieces(prev, root, get); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytesToFetch(oldPieces, root, pieces)), "moved-bytes")
		})
	}
}

var sizes = []int{5, 2_700, 27_000}

// snapshotBytes returns the heap size of one Snapshot. It measures several, so that
// small ones exceed the measurement noise.
func snapshotBytes(doc *Document) float64 {
	snapshots := make([]*Snapshot, 1+27_000/len(doc.Accounts))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range snapshots {
		snapshots[i] = Compile(doc, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(snapshots)
	runtime.KeepAlive(doc)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(len(snapshots))
}

func BenchmarkCompile(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			doc := sizedDocument(size)
			memory := snapshotBytes(doc)
			for b.Loop() {
				Compile(doc, 1)
			}
			b.ReportMetric(memory, "snapshot-bytes")
		})
	}
}

func BenchmarkKey(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			doc := sizedDocument(size)
			snap := Compile(doc, 1)
			i := 0
			for b.Loop() {
				i = (i + 7919) % size
				if _, ok := snap.Key(doc.Accounts[i].ID, "key-2"); !ok {
					b.Fatal("key not found")
				}
			}
		})
	}
}

func BenchmarkParse27000(b *testing.B) {
	text := Format(sizedDocument(27_000))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, findings := Parse("bench.jsonc", text); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}
