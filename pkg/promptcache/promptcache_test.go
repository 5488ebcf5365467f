package promptcache

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func engines(n int) []catalog.Upstream {
	var list []catalog.Upstream
	for i := range n {
		list = append(list, catalog.Upstream{ID: core.UpstreamID(fmt.Sprintf("p-%04d", i)), Addr: "a", Stage: catalog.StagePrefill, Born: 1})
	}
	return list
}

func promptOf(x *Estimator, own string) Prompt {
	return x.Prompt("s", []Part{{"shared", 1000}, {core.PromptPart(own), 4000}}, 5000)
}

var idle = State{MemoryTokens: 50_000}

// Guards against estimates that outlive the memory of an engine: what it has prefilled since for this Instance
// and for peers, and what running requests use, evicts the least recently used.
func TestExpectationFallsWithWhatFillsTheMemory(t *testing.T) {
	is := is.New(t)
	x := New()
	x.SetUpstreams(engines(1))
	now := core.Instant(time.Hour)
	first := promptOf(x, "first")
	x.OnPlaced(now, "p-0000", first, Expectation{}, 5000)
	is.Equal(x.Expect(now, "p-0000", first, idle), Expectation{Tokens: 5000, Likely: 5000})
	is.Equal(x.Expect(now, "p-0000", promptOf(x, "other"), idle), Expectation{Tokens: 1000, Likely: 1000})
	is.Equal(x.Expect(now, "p-0000", x.Prompt("other service", []Part{{"shared", 1000}}, 5000), idle).Tokens, 0)
	is.Equal(x.Expect(now, "p-0000", first, State{MemoryTokens: 50_000, BusyTokens: 49_500}).Tokens, 0)
	later := now.Add(2 * time.Second)
	is.True(x.Expect(later, "p-0000", first, idle).Tokens > 4800)
	is.Equal(x.Expect(later, "p-0000", first, State{MemoryTokens: 50_000, PeerTokensPerSecond: 25_000}).Likely, 0)
	for i := range 12 {
		x.OnPlaced(now, "p-0000", promptOf(x, fmt.Sprint(i)), Expectation{}, 4000)
	}
	is.Equal(x.Expect(now, "p-0000", first, idle), Expectation{Tokens: 1000, Likely: 1000}) // the shared part was used
	wrong := promptOf(x, "9")
	x.OnMeasured(now, "p-0000", wrong, x.Expect(now, "p-0000", wrong, idle), false)
	is.Equal(x.Expect(now, "p-0000", wrong, idle).Likely, 0)
	is.Equal(x.Expect(now, "p-0000", promptOf(x, "8"), idle).Tokens, 2500) // trusted half as much
	x.SetUpstreams(nil)
	is.Equal(x.Stats().Entries, 0)
}

// Guards against memory that grows with the requests: 330 Instances place 14,000 requests/s at 1,300 engines,
// and an Instance may get more than its share.
func TestMemoryIsBounded(t *testing.T) {
	var before, after runtime.MemStats
	list := engines(1300)
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := New()
	x.SetUpstreams(list)
	for i := range 50_000 {
		now := core.Instant(time.Duration(i) * 20 * time.Millisecond)
		x.OnPlaced(now, list[i%len(list)].ID, promptOf(x, fmt.Sprint(i)), Expectation{}, 4000)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d prefixes take %d bytes", x.Stats().Entries, used)
	if used > 4<<20 || x.Stats().Entries > maxEntries {
		t.Error("more than 4 MB")
	}
	holders, most := len(x.Holders(x.Prompt("s", []Part{{"shared", 1000}}, 5000), nil)), 0
	for _, e := range x.engines {
		most = max(most, len(e.entries))
	}
	if holders > maxHolders || most > maxEntriesPerEngine {
		t.Errorf("%d holders of one prefix, %d prefixes at one engine", holders, most)
	}
}
