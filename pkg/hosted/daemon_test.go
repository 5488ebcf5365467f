package hosted

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// Guards against full reads in a loop when the configuration is older than the
// store's history: a watch from the configuration's revision fails with ErrCompacted.
func TestOldConfigurationIsWatchedFromTheStoresRevision(t *testing.T) {
	is := is.New(t)
	store := newFakeStore(plainRouting(1))
	store.revision.Number = 100
	store.oldest = 90 // the configuration has revision 11
	startDaemon(t, store)
	time.Sleep(700 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	is.True(store.reads <= 2)   // at most one read besides the first
	is.True(store.watches <= 2) // a watch waits for 1.2 s
}

// Guards against full reads without a pause while every watch fails because the store
// has compacted its history.
func TestReadsAreSpacedWhileHistoryIsCompacted(t *testing.T) {
	is := is.New(t)
	store := newFakeStore(plainRouting(1))
	store.oldest = 1 << 40
	startDaemon(t, store)
	time.Sleep(time.Second)
	store.mu.Lock()
	defer store.mu.Unlock()
	is.True(store.reads <= 6) // 300 ms apart
}

// Guards against an exit of the process after an Upstream has completed a response and
// before the caller has received all of it.
func TestStopLetsAnswersFinish(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
		<-release
		_, _ = io.WriteString(w, "data: 2\n\n")
	}))
	defer engine.Close()
	routing := plainRouting(1)
	routing.Routes[0].Streaming = true
	routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
	store := newFakeStore(routing, catalog.Upstream{
		ID: "e", Service: "s", Addr: strings.TrimPrefix(engine.URL, "http://"), DataCentre: "a", Stage: catalog.StageDecode, Slots: 4,
	})
	settings, stop, done := startDaemon(t, store)

	request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
	is.NoErr(err)
	request.Host = "h"
	request.Header.Set("X-Id", "1")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	stop()
	time.Sleep(800 * time.Millisecond) // longer than the TTL of address responses
	close(release)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err) // the response is complete
	is.Equal(string(body), "data: 1\n\ndata: 2\n\n")
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Fatal("the daemon did not stop after its last response")
	}
}

// Guards against metrics that count a failed, late or refused request as goodput, and
// against a caller's key in a label.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/p/late":
			time.Sleep(50 * time.Millisecond)
		case "/p/failed":
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer service.Close()
	routing := plainRouting(7)
	routing.Routes[0].LatencyTarget = 40 * time.Millisecond
	store := newFakeStore(routing, catalog.Upstream{ID: "s1", Service: "s", Addr: strings.TrimPrefix(service.URL, "http://"), DataCentre: "a"})
	settings, _, _ := startDaemon(t, store)
	for i, path := range []string{"/p/good", "/p/late", "/p/failed", "/unknown"} {
		request, err := http.NewRequest(http.MethodGet, "http://"+settings.CallerAddr+path, nil)
		is.NoErr(err)
		request.Host = "h"
		request.Header.Set("X-Id", fmt.Sprint(i))
		request.Header.Set("Authorization", "Bearer secret")
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		response.Body.Close()
	}
	time.Sleep(2 * gaugeInterval)
	response, err := http.Get("http://" + settings.MetricsAddr + "/metrics")
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for _, line := range []string{
		`rhubarbsill_answers_total{service="s"} 3`,
		`rhubarbsill_goodput_total{service="s"} 1`,
		`rhubarbsill_answer_time_seconds_count{service="s"} 3`,
		`rhubarbsill_answer_time_seconds_bucket{service="s",le="0.05"} 2`,
		`rhubarbsill_refusals_total{code="unknown_route",service=""} 1`,
		`rhubarbsill_config_version 7`,
		`rhubarbsill_instances_heard 1`,
		`rhubarbsill_queue_length{service="s"} 0`,
	} {
		if !strings.Contains(string(text), line) {
			t.Errorf("%s is missing", line)
		}
	}
	is.True(!strings.Contains(string(text), "rhubarbsill_refusals_inside_rate_total"))
	is.True(!strings.Contains(string(text), "secret"))
	if t.Failed() {
		t.Logf("%s", text)
	}
}

// Guards against a log in which an unresponsive watch looks like a rejected one.
func TestLogTellsUnresponsiveWatchFromFailedOne(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.WarnLevel)
	store := newFakeStore(plainRouting(1))
	store.unresponsive = true
	startDaemonWithLog(t, store, zap.New(core))
	lost := waitForLog(t, logs, "store: lost")
	is.Equal(lost["what"], "config")
	is.Equal(lost["unanswered"], true)
	is.True(lost["since_reply"].(time.Duration) > 0)
}

// Guards against unresponsive watches that no Instance of a large fleet detects in time:
// all of them begin after the same change, and must not end together.
func TestWatchesOfALargeFleetEndAtDifferentTimes(t *testing.T) {
	is := is.New(t)
	const instances = 62
	const maxGap = 2 * time.Second // half of the time in which a change must become active there
	store := newFakeStore(plainRouting(1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range instances {
		d := newDaemon(t, store, zap.NewNop())
		d.liveInstances.Store(instances)
		go d.syncRouting(ctx, rand.Float64())
	}
	var waits []time.Duration
	for range 500 {
		store.mu.Lock()
		waits = slices.Clone(store.waits)
		store.mu.Unlock()
		if len(waits) >= instances {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(waits), instances)
	slices.Sort(waits)
	is.True(waits[0] < maxGap)
	for i := range waits[1:] {
		is.True(waits[i+1]-waits[i] < maxGap)
	}
	is.True(waits[instances-1] <= maxWatchPeriod+minWatchWait)
}

// Guards against an Instance that loses its peers during a long watch: nobody else tells
// it that the watch is unresponsive.
func TestInstanceThatLosesItsPeersReadsTheStore(t *testing.T) {
	is := is.New(t)
	store := newFakeStore(plainRouting(1))
	store.unresponsive = true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDaemon(t, store, zap.NewNop())
	d.setLiveInstances(62)
	go d.syncRouting(ctx, 0) // the first watch waits for nearly a period
	reads := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.reads
	}
	time.Sleep(minReadInterval)
	is.Equal(reads(), 1)
	d.setLiveInstances(60) // the loss of a few changes nothing
	time.Sleep(minReadInterval)
	is.Equal(reads(), 1)
	d.setLiveInstances(1)
	time.Sleep(minReadInterval)
	is.Equal(reads(), 2)
}

// waitForLog returns the fields of the first log entry with a message.
func waitForLog(t *testing.T, logs *observer.ObservedLogs, message string) map[string]any {
	t.Helper()
	for range 500 {
		if found := logs.FilterMessage(message).All(); len(found) > 0 {
			return found[0].ContextMap()
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no log entry %q", message)
	return nil
}

// serveRaw answers the first request on each connection with the bytes that respond returns, and
// closes the connection.
func serveRaw(t *testing.T, respond func(r *http.Request) string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, respond(r))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// rawEngine serves one fixed response on each connection and closes it.
func rawEngine(t *testing.T, response string) (addr string) {
	t.Helper()
	return serveRaw(t, func(*http.Request) string { return response })
}

// Guards against a stream that looks complete although its engine broke it off: without
// a length or chunks, only the end of the last event tells.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for name, test := range map[string]struct {
		response string
		complete bool
	}{
		"until the end of the connection":             {head + "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n", true},
		"carriage returns":                            {head + "\r\nid: 1\r\ndata: a\r\n\r\n", true},
		"end of the connection inside an event":       {head + "\r\nid: 1\ndata: a\n\nid: 2\nda", false},
		"end of the connection before the empty line": {head + "\r\nid: 1\ndata: a\n", false},
		"length that ends inside an event":            {head + "Content-Length: 4\r\n\r\nid: ", false},
	} {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable=%t", name, resumable), func(t *testing.T) {
				is := is.New(t)
				routing := plainRouting(1)
				routing.Routes[0].Streaming, routing.Routes[0].Resumable = true, resumable
				routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
				settings, _, _ := startDaemon(t, newFakeStore(routing, catalog.Upstream{
					ID: "e", Service: "s", Addr: rawEngine(t, test.response), DataCentre: "a", Stage: catalog.StageDecode, Slots: 4,
				}))
				request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
				is.NoErr(err)
				request.Host = "h"
				request.Header.Set("X-Id", "1")
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					defer response.Body.Close()
					_, err = io.ReadAll(response.Body)
				}
				complete := err == nil && response.StatusCode == http.StatusOK
				is.Equal(complete, test.complete)
			})
		}
	}
}

// Guards against Upstreams that fill the memory of an Instance with responses without end.
func TestEndlessResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	const requests = 40
	piece := []byte(strings.Repeat("x", 64<<10))
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/p/large" {
			_, _ = w.Write(bytes.Repeat(piece, 16))
			return
		}
		var err error
		for err == nil {
			_, err = w.Write(piece)
		}
	}))
	defer service.Close()
	routing := plainRouting(1)
	routing.Routes[0].Timeout = time.Minute // large responses wait for each other
	settings, _, _ := startDaemon(t, newFakeStore(routing, catalog.Upstream{
		ID: "s1", Service: "s", Addr: strings.TrimPrefix(service.URL, "http://"), DataCentre: "a", Slots: requests,
	}))
	send := func(id int, path string) (status int, length int64) {
		request, err := http.NewRequest(http.MethodGet, "http://"+settings.CallerAddr+path, nil)
		is.NoErr(err)
		request.Host = "h"
		request.Header.Set("X-Id", fmt.Sprint(id))
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer response.Body.Close()
		length, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.StatusCode, length
	}
	runtime.GC()
	var before, current runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wait sync.WaitGroup
		for i := range requests {
			wait.Go(func() {
				status, _ := send(i, "/p/endless")
				is.Equal(status, http.StatusBadGateway)
			})
		}
		wait.Wait()
	}()
	peak := before.HeapInuse
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(5 * time.Millisecond):
			runtime.GC()
			runtime.ReadMemStats(&current)
			peak = max(peak, current.HeapInuse)
		}
	}
	t.Logf("the heap grew by %d MB", (peak-before.HeapInuse)>>20)
	is.True(peak-before.HeapInuse < 112<<20) // the memory of the smallest instance
	status, length := send(requests, "/p/large")
	is.Equal(status, http.StatusOK)
	is.Equal(length, int64(16*len(piece)))
}

// Guards against changes that are never delivered, because the store has lost some and has assigned
// their revisions again before the next watch.
func TestWatchThatEndsInANewEraIsFollowedByARead(t *testing.T) {
	is := is.New(t)
	store := newFakeStore(plainRouting(1))
	d := newDaemon(t, store, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.syncRouting(ctx, 0)
	version := func() core.Version {
		for {
			select {
			case event := <-d.events:
				if e, found := event.(router.RoutingReceived); found {
					return e.Routing.Version
				}
			case <-time.After(2 * time.Second):
				return 0
			}
		}
	}
	is.Equal(version(), core.Version(1))
	store.setConfig(plainRouting(2))
	is.Equal(version(), core.Version(2))
	store.mu.Lock()
	lost := store.revision
	store.revision = core.StoreRevision{Era: lost.Era + 1, Number: lost.Number - 2}
	store.mu.Unlock()
	store.setConfig(plainRouting(3)) // has the number before lost, so the next watch does not deliver it
	store.mu.Lock()
	store.config.Revision = core.StoreRevision{} // not after any revision
	store.revision.Number = lost.Number
	store.mu.Unlock()
	is.Equal(version(), core.Version(3))
}

// Guards against a watch that goes on without an answer although a peer has reported that the store
// came back from an older copy.
func TestWatchesOfAnEarlierEraEnd(t *testing.T) {
	is := is.New(t)
	var watches activeWatches
	earlier, _ := watches.start(t.Context(), 1, time.Minute)
	current, _ := watches.start(t.Context(), 2, time.Minute)
	watches.endBefore(2)
	is.Equal(context.Cause(earlier), errWatchEnded)
	is.NoErr(current.Err())
}
