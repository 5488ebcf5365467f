package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// serveEngine serves an engine on loopback and returns its base URL and a client.
func serveEngine(t *testing.T, s *Server) (string, *upstream.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	c := upstream.New(upstream.Options{Credential: "instance"})
	t.Cleanup(func() { c.Close(); s.Close() })
	return "http://" + l.Addr().String(), c
}

// manualClock is a clock that a test advances.
type manualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[chan time.Time]time.Time
}

func newManualClock() *manualClock {
	return &manualClock{now: time.Unix(1000, 0), timers: make(map[chan time.Time]time.Time)}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := make(chan time.Time, 1)
	c.timers[timer] = c.now.Add(d)
	return timer
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for timer, at := range c.timers {
		if !at.After(c.now) {
			delete(c.timers, timer)
			timer <- c.now
		}
	}
}

// advanceUntil advances the clock in steps until the condition holds.
func (c *manualClock) advanceUntil(t *testing.T, step time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not hold within 10 s")
		}
		c.advance(step)
	}
}

func prompt(fill string, blocks int) string {
	return strings.Repeat(fill, blocks*core.BlockTokens*upstream.BytesPerToken)
}

// Guards against a fake whose prefix cache has no effect or no limit, or publishes
// all events without delay and loss.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	clock := newManualClock()
	s := New(Options{Role: Prefill, Clock: clock, PerPromptToken: time.Nanosecond, CacheBlocks: 3, EventLag: time.Hour, EventLossInterval: 2})
	url, c := serveEngine(t, s)
	cached := func(text string) int {
		result := make(chan int, 1)
		go func() {
			reply, err := c.Prefill(t.Context(), url, upstream.PrefillRequest{Model: "m", Prompt: text})
			is.NoErr(err)
			result <- reply.CachedTokens
		}()
		clock.advanceUntil(t, time.Microsecond, func() bool { return len(result) == 1 })
		return <-result
	}
	is.Equal(cached(prompt("a", 2)), 0)
	is.Equal(cached(prompt("a", 3)), 2*core.BlockTokens)
	events, err := c.CacheEvents(t.Context(), url, 0)
	is.NoErr(err)
	is.Equal(len(events.Events), 0) // delayed by EventLag
	clock.advance(time.Hour)
	events, err = c.CacheEvents(t.Context(), url, 0)
	is.NoErr(err)
	hashes := upstream.PrefixHashes("m", prompt("a", 3))
	is.Equal(events.Events, []upstream.CacheEvent{{Seq: 1, Block: hashes[0]}, {Seq: 3, Block: hashes[2]}}) // event 2 is lost
	is.Equal(cached(prompt("b", 3)), 0)
	is.Equal(cached(prompt("a", 3)), 0) // evicted
	clock.advance(time.Hour)
	more, err := c.CacheEvents(t.Context(), url, events.Next)
	is.NoErr(err)
	is.True(len(more.Events) > 0)
	for _, e := range more.Events {
		is.True(e.Seq > events.Next)
	}
}

// Guards against a fake whose load reports have no lag: with it, a router that relies on
// reports alone would pass its tests.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	prefill := New(Options{Role: Prefill})
	source, c := serveEngine(t, prefill)
	clock := newManualClock()
	s := New(Options{Clock: clock, ReportLag: 300 * time.Millisecond, PerOutputToken: time.Hour})
	url, _ := serveEngine(t, s)
	clock.advance(time.Second)
	kv, err := c.Prefill(t.Context(), source, upstream.PrefillRequest{Prompt: "x"})
	is.NoErr(err)
	stream, err := c.Decode(t.Context(), url, upstream.DecodeRequest{Attempt: "a.1.1", Source: source, KV: kv.KV, MaxTokens: 3000})
	is.NoErr(err)
	defer stream.Close()
	report, err := c.Load(t.Context(), url)
	is.NoErr(err)
	is.Equal(report.Attempts, []string{})
	clock.advance(299 * time.Millisecond)
	report, err = c.Load(t.Context(), url)
	is.NoErr(err)
	is.Equal(report.Attempts, []string{})
	clock.advance(time.Millisecond)
	report, err = c.Load(t.Context(), url)
	is.NoErr(err)
	is.Equal(report.Attempts, []string{"a.1.1"})
	is.Equal(report.Used, 1)
	is.Equal(report.FreeBlocks, 80-3) // 3001 tokens in blocks of 1,024
}

// Guards against a fake that ignores priorities or a full queue.
func TestPrefillQueue(t *testing.T) {
	is := is.New(t)
	clock := newManualClock()
	s := New(Options{Role: Prefill, Clock: clock, QueueLimit: 2, PerPromptToken: 200 * time.Millisecond})
	url, c := serveEngine(t, s)
	var wait sync.WaitGroup
	working := func() string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.state.runningPrefill
	}
	for i, priority := range []int{0, 0, 5} {
		wait.Go(func() {
			_, err := c.Prefill(t.Context(), url, upstream.PrefillRequest{Attempt: fmt.Sprint(i), Prompt: "x", Priority: priority})
			is.NoErr(err)
		})
		clock.advanceUntil(t, 0, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.state.busy && len(s.state.prefillQueue) == i
		})
	}
	_, err := c.Prefill(t.Context(), url, upstream.PrefillRequest{Prompt: "x", Priority: 9})
	is.Equal(upstream.KindOf(err), upstream.Full)
	for _, step := range []struct{ from, to string }{{"0", "2"}, {"2", "1"}, {"1", ""}} {
		clock.advanceUntil(t, 50*time.Millisecond, func() bool { return working() != step.from })
		is.Equal(working(), step.to)
	}
	wait.Wait()
}

// Guards against a decode queue that ignores priorities, cancels or the memory.
func TestDecodeQueue(t *testing.T) {
	is := is.New(t)
	source, c := serveEngine(t, New(Options{Role: Prefill, KVTTL: 10 * time.Second}))
	s := New(Options{Slots: 1, QueueLimit: 3, PerOutputToken: time.Millisecond})
	url, _ := serveEngine(t, s)
	kv, err := c.Prefill(t.Context(), source, upstream.PrefillRequest{Prompt: "x"})
	is.NoErr(err)
	decode := func(id string, priority, tokens int) (upstream.TokenStream, error) {
		return c.Decode(t.Context(), url, upstream.DecodeRequest{Attempt: id, Source: source, KV: kv.KV, MaxTokens: tokens, Priority: priority})
	}
	_, err = decode("large", 0, 81*core.BlockTokens)
	is.Equal(upstream.KindOf(err), upstream.Full) // larger than the memory: it could never be admitted
	_, err = decode("running", 0, 10_000)
	is.NoErr(err)
	low, err := decode("low", 0, 10_000)
	is.NoErr(err)
	high, err := decode("high", 5, 10_000)
	is.NoErr(err)
	canceled, err := decode("gone", 9, 10_000)
	is.NoErr(err)
	_, err = decode("more", 9, 10_000)
	is.Equal(upstream.KindOf(err), upstream.Full)
	is.NoErr(c.Cancel(t.Context(), url, "gone"))
	_, err = canceled.Next()
	is.Equal(upstream.KindOf(err), upstream.Canceled)
	is.NoErr(c.Cancel(t.Context(), url, "running"))
	_, err = high.Next()
	is.NoErr(err)
	is.Equal(s.RunningAttempts(), []string{"high"})
	is.NoErr(c.Cancel(t.Context(), url, "high"))
	_, err = low.Next()
	is.NoErr(err)
	is.Equal(s.RunningAttempts(), []string{"low"})
}

// Guards against a fake that enforces fencing without CheckFencing, or does not enforce
// it with CheckFencing.
func TestFencing(t *testing.T) {
	for _, check := range []bool{true, false} {
		is := is.New(t)
		s := New(Options{CheckFencing: check})
		url, c := serveEngine(t, s)
		is.NoErr(c.Order(t.Context(), url, order("new", "decode", 7)))
		err := c.Order(t.Context(), url, order("old", "decode", 6))
		is.Equal(err != nil, check)
		is.Equal(len(s.Orders()) == 1, check)
	}
}

func order(model, role string, fence core.FencingToken) upstream.OrderRequest {
	return upstream.OrderRequest{State: upstream.EngineState{Model: model, Role: role}, Fence: fence}
}

// Guards against an engine that serves new weights before they are loaded, stops
// serving the old ones in the meantime, or omits the loading state from its report.
func TestOrderTakesEffectAfterLoading(t *testing.T) {
	is := is.New(t)
	s := New(Options{
		Role: Prefill, InitialState: upstream.EngineState{Model: "old"}, LoadTime: 300 * time.Millisecond, ReportLag: time.Millisecond,
	})
	url, c := serveEngine(t, s)
	is.NoErr(c.Order(t.Context(), url, order("new", "prefill", 1)))
	_, err := c.Prefill(t.Context(), url, upstream.PrefillRequest{Attempt: "a", Model: "old", Prompt: "x"})
	is.NoErr(err)
	_, err = c.Prefill(t.Context(), url, upstream.PrefillRequest{Attempt: "b", Model: "new", Prompt: "x"})
	is.Equal(upstream.KindOf(err), upstream.Refused)
	time.Sleep(10 * time.Millisecond) // the lag of the report
	report, err := c.Load(t.Context(), url)
	is.NoErr(err)
	is.Equal(report.State.Model, "old")
	is.Equal(report.Loading.Model, "new")
	for report.Loading != nil {
		time.Sleep(10 * time.Millisecond)
		report, err = c.Load(t.Context(), url)
		is.NoErr(err)
	}
	is.Equal(*report.State, upstream.EngineState{Model: "new", Role: "prefill"})
	_, err = c.Prefill(t.Context(), url, upstream.PrefillRequest{Attempt: "c", Model: "new", Prompt: "x"})
	is.NoErr(err)
}

// Guards against transfers that each get the full bandwidth of the link.
func TestTransfersShareLink(t *testing.T) {
	is := is.New(t)
	source, c := serveEngine(t, New(Options{Role: Prefill, KVBytesPerToken: 1000}))
	url, _ := serveEngine(t, New(Options{LinkBytesPerSecond: 10_000, PerOutputToken: time.Millisecond}))
	kv, err := c.Prefill(t.Context(), source, upstream.PrefillRequest{Prompt: "x"})
	is.NoErr(err)
	start := time.Now()
	var streams []upstream.TokenStream
	for _, id := range []string{"a", "b", "c"} {
		s, err := c.Decode(t.Context(), url, upstream.DecodeRequest{Attempt: id, Source: source, KV: kv.KV, MaxTokens: 1})
		is.NoErr(err)
		streams = append(streams, s)
	}
	for _, s := range streams {
		_, err := s.Next()
		is.NoErr(err)
	}
	is.True(time.Since(start) >= 300*time.Millisecond) // three times 100 ms
}

// Guards against fault controls that do not work over HTTP, which tests in other
// processes use.
func TestControlsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	url, c := serveEngine(t, s)
	set := func(f Faults) {
		body, err := json.Marshal(f)
		is.NoErr(err)
		response, err := http.Post(url+"/lab/faults", "application/json", bytes.NewReader(body))
		is.NoErr(err)
		response.Body.Close()
	}
	for round := range 50 {
		// Faults take effect before the response is sent.
		set(Faults{Refuse: true})
		_, err := c.Load(t.Context(), url)
		is.Equal(upstream.KindOf(err), upstream.Refused)
		set(Faults{Crash: true})
		is.Equal(s.Generation(), uint64(2+round))
	}
	_, err := c.Load(t.Context(), url)
	is.NoErr(err)
	response, err := http.Get(url + "/lab/executions")
	is.NoErr(err)
	defer response.Body.Close()
	var list []Execution
	is.NoErr(json.NewDecoder(response.Body).Decode(&list))
	is.Equal(len(list), 51)
	is.Equal([]int{list[0].Status, list[50].Status}, []int{503, 200})
	is.Equal(list[0].Header.Get("Authorization"), "Bearer instance")
}
