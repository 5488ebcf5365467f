package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against an effect that is ordered before its cause when the wall clocks
// of processes differ, jump or stop.
func TestCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 4).Draw(t, "nodes")
		walls := make([]int64, nodes)
		clocks := make([]*Clock, nodes)
		last := make([]Stamp, nodes)
		for i := range nodes {
			walls[i] = rapid.Int64Range(0, 20).Draw(t, "skew")
			clocks[i] = NewClock(fmt.Sprint(i), func() time.Time { return time.UnixMilli(walls[i]) })
		}
		var inFlight []Stamp
		seen := make(map[Stamp]bool)
		check := func(node int, s Stamp, causes ...Stamp) {
			for _, cause := range append(causes, last[node]) {
				if !cause.Before(s) {
					t.Fatalf("node %d: %v is not after its cause %v", node, s, cause)
				}
			}
			if seen[s] {
				t.Fatalf("timestamp %v was returned twice", s)
			}
			if s.Wall < walls[node] {
				t.Fatalf("timestamp %v is behind the wall clock %d", s, walls[node])
			}
			seen[s], last[node] = true, s
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				node := rapid.IntRange(0, nodes-1).Draw(t, "node")
				s := clocks[node].Now()
				check(node, s)
				inFlight = append(inFlight, s)
			},
			"receive": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				node := rapid.IntRange(0, nodes-1).Draw(t, "node")
				// The message stays in flight: it may be duplicated or reordered.
				message := rapid.SampledFrom(inFlight).Draw(t, "message")
				check(node, clocks[node].Observe(message), message)
			},
			"time": func(t *rapid.T) {
				node := rapid.IntRange(0, nodes-1).Draw(t, "node")
				walls[node] += rapid.Int64Range(-5, 10).Draw(t, "step")
			},
		})
	})
}

// Guards against a timestamp in the past after an overflow of the logical counter.
func TestLogicalCountOverflow(t *testing.T) {
	is := is.New(t)
	c := NewClock("a", func() time.Time { return time.UnixMilli(1) })
	remote := Stamp{Wall: 5, Logical: math.MaxUint32, Node: "b"}
	is.True(remote.Before(c.Observe(remote)))
	is.Equal(c.Skew(), 5*time.Millisecond)
}

func drawEvent(t *rapid.T, stamp int64) Event {
	return Event{
		Stamp:     Stamp{Wall: stamp, Logical: uint32(stamp % 3), Node: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")},
		Component: "keys",
		Request:   core.RequestID(rapid.SampledFrom([]string{"", "r1", "r2"}).Draw(t, "request")),
		Account:   core.AccountID(rapid.SampledFrom([]string{"", "acme"}).Draw(t, "account")),
		Upstream:  core.UpstreamID(rapid.SampledFrom([]string{"", "u1"}).Draw(t, "upstream")),
	}
}

// Guards against a ring buffer that grows, loses recent events or returns them out of
// order. A list of all events is the reference.
func TestRingKeepsTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		ring := NewRingBuffer(size)
		var all []Event
		for i := range rapid.IntRange(0, 30).Draw(t, "events") {
			e := drawEvent(t, int64(i))
			all = append(all, e)
			ring.Add(e)
		}
		f := Filter{
			Request:  core.RequestID(rapid.SampledFrom([]string{"", "r1"}).Draw(t, "want request")),
			Account:  core.AccountID(rapid.SampledFrom([]string{"", "acme", "other"}).Draw(t, "want account")),
			Upstream: core.UpstreamID(rapid.SampledFrom([]string{"", "u1"}).Draw(t, "want upstream")),
			From:     time.UnixMilli(rapid.Int64Range(0, 30).Draw(t, "from")),
			To:       time.UnixMilli(rapid.Int64Range(0, 31).Draw(t, "to")),
			Limit:    rapid.IntRange(0, 3).Draw(t, "limit"),
		}
		stored := all[max(0, len(all)-size):]
		var want []Event
		for _, e := range stored {
			inTime := e.Wall >= f.From.UnixMilli() && e.Wall < f.To.UnixMilli()
			matches := (f.Request == "" || f.Request == e.Request) && (f.Account == "" || f.Account == e.Account) &&
				(f.Upstream == "" || f.Upstream == e.Upstream)
			if inTime && matches {
				want = append(want, e)
			}
		}
		if f.Limit > 0 {
			want = want[max(0, len(want)-f.Limit):]
		}
		got := ring.Select(f)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v\nwant %v", got, want)
		}
		if ring.OverwrittenCount() != uint64(len(all)-len(stored)) {
			t.Fatalf("overwritten: got %d", ring.OverwrittenCount())
		}
	})
}

// Guards against a limit that returns the oldest events.
func TestLimitReturnsTheLatest(t *testing.T) {
	is := is.New(t)
	ring := NewRingBuffer(5)
	for wall := range int64(4) {
		ring.Add(Event{Stamp: Stamp{Wall: wall}})
	}
	got := ring.Select(Filter{Limit: 2})
	is.Equal(len(got), 2)
	is.Equal([]int64{got[0].Wall, got[1].Wall}, []int64{2, 3})
}

// Guards against a merge whose order depends on which process responded first, or that
// returns an event twice.
func TestMergeIgnoresOrderOfLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists [][]Event
		for range rapid.IntRange(1, 4).Draw(t, "lists") {
			var list []Event
			for range rapid.IntRange(0, 6).Draw(t, "events") {
				list = append(list, drawEvent(t, rapid.Int64Range(0, 5).Draw(t, "wall")))
			}
			lists = append(lists, list)
		}
		shuffled := append(rapid.Permutation(lists).Draw(t, "order"), lists[0])
		merged, remerged := Merge(lists), Merge(shuffled)
		if fmt.Sprint(merged) != fmt.Sprint(remerged) {
			t.Fatalf("got %v and %v", merged, remerged)
		}
		for i := 1; i < len(merged); i++ {
			if merged[i].Stamp.Before(merged[i-1].Stamp) || merged[i] == merged[i-1] {
				t.Fatalf("event %d is out of order or repeated: %v", i, merged)
			}
		}
	})
}

// Guards against text of a caller that injects a line or a field into the output, and
// against details of unbounded size.
func TestWriters(t *testing.T) {
	is := is.New(t)
	ring := NewRingBuffer(4)
	ring.Add(Event{Stamp: Stamp{Wall: 1500, Logical: 2, Node: "i-1"}, Component: "keys", Kind: "refused", Request: "r\nforged: line", Detail: strings.Repeat("é", MaxDetailBytes)})
	var text, lines bytes.Buffer
	is.NoErr(WriteText(&text, ring.Select(Filter{})))
	is.NoErr(WriteJSON(&lines, ring.Select(Filter{})))
	is.Equal(strings.Count(text.String(), "\n"), 1)
	is.True(strings.HasPrefix(text.String(), `1970-01-01T00:00:01.500Z+2@i-1 keys: refused request="r\nforged: line" detail="é`))
	var e Event
	is.NoErr(json.Unmarshal(lines.Bytes(), &e))
	is.Equal(e.Wall, int64(1500))
	is.Equal(e.Detail, strings.Repeat("é", MaxDetailBytes/2))
}
