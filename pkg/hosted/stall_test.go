package hosted

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// startStallDaemon starts a Daemon with one service of n engines or plain Upstreams at
// address addr, whose route allows two of them and 15 s.
func startStallDaemon(t *testing.T, addr string, stream, retryBudget bool) Settings {
	t.Helper()
	routing := plainRouting(1)
	route := &routing.Routes[0]
	route.MaxUpstreams, route.Timeout, route.LatencyTarget, route.RetrySafety = 2, 15*time.Second, 300*time.Millisecond, config.RetrySafe
	up := catalog.Upstream{Service: "s", Addr: addr, DataCentre: "a", Slots: 4}
	if stream {
		route.Streaming, route.Resumable = true, true
		routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
		up.Stage = catalog.StageDecode
	}
	store := newFakeStore(routing)
	for i := range 2 {
		up.ID = core.UpstreamID(fmt.Sprintf("u%d", i))
		store.list = append(store.list, up)
	}
	allowance := 0.0
	if retryBudget {
		allowance = 10
	}
	settings, _, _ := startDaemonWith(t, store, zap.NewNop(), func(s *Settings) { s.RetryAllowance = allowance })
	return settings
}

func fetchBody(t *testing.T, settings Settings) (status int, body string, took time.Duration, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+settings.CallerAddr+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("X-Id", "1")
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", time.Since(start), err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), time.Since(start), err
}

func streamServer(t *testing.T, serve func(run int64, send func(string))) string {
	t.Helper()
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		serve(runs.Add(1), func(text string) {
			_, _ = io.WriteString(w, text)
			w.(http.Flusher).Flush()
		})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a stalled stream that goes on for as long as the engine sends a byte now
// and then: another engine continues it.
func TestStreamThatSendsOnlyBytesIsStalled(t *testing.T) {
	is := is.New(t)
	addr := streamServer(t, func(run int64, send func(string)) {
		if run > 1 {
			send("id: 2\ndata: b\n\n")
			return
		}
		send("id: 1\ndata: a\n\nid: 2\ndata: ")
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			send("x")
		}
	})
	status, body, took, err := fetchBody(t, startStallDaemon(t, addr, true, true))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(took < 3*time.Second)
}

// Guards against a stream that is cut because its engine is slow, when it can't be
// continued at another one.
func TestSlowStreamIsKeptWithoutARetryBudget(t *testing.T) {
	is := is.New(t)
	addr := streamServer(t, func(_ int64, send func(string)) {
		time.Sleep(1300 * time.Millisecond)
		send("id: 1\ndata: a\n\n")
		time.Sleep(1300 * time.Millisecond)
		send("id: 2\ndata: b\n\n")
	})
	status, body, _, err := fetchBody(t, startStallDaemon(t, addr, true, false))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// Guards against a plain response that is discarded because it is late, when the request
// can't be retried.
func TestLateResponseIsKeptWithoutARetryBudget(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(w, "late")
	}))
	defer server.Close()
	status, body, _, err := fetchBody(t, startStallDaemon(t, strings.TrimPrefix(server.URL, "http://"), false, false))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "late")
}

// Guards against a request that waits for an unresponsive Upstream although it may be
// retried.
func TestStalledRequestIsRetried(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "second")
	}))
	defer server.Close()
	status, body, took, err := fetchBody(t, startStallDaemon(t, strings.TrimPrefix(server.URL, "http://"), false, true))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "second")
	is.True(took < time.Second)
}
