package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// answerPieces and pieceBytes are more than the buffers of two connections hold.
	answerPieces = 400
	pieceBytes   = 1500
	// smallWindow is the receive buffer of a caller that reads slowly.
	smallWindow = 8 << 10
)

// pieceOfAnswer returns an event of pieceBytes bytes.
func pieceOfAnswer(id int) string {
	head := fmt.Sprintf("id: %d\ndata: ", id)
	return head + strings.Repeat("x", pieceBytes-len(head)-2) + "\n\n"
}

// longAnswers is a Daemon before a service whose answers are long.
type longAnswers struct {
	settings Settings
	runs     sync.Map // request id -> *atomic.Int64
	logs     *observer.ObservedLogs
}

// runsOf returns how often a request has run.
func (l *longAnswers) runsOf(id string) int64 {
	n, _ := l.runs.LoadOrStore(id, new(atomic.Int64))
	return n.(*atomic.Int64).Load()
}

// startLongAnswers starts a Daemon before a service whose answers are long: at /p/ one body, at
// /stream/ and /resumable/ events as fast as they are taken, without an end at /stalls. change sets what the routes have in common, changeSettings what
// the settings have beside the defaults.
func startLongAnswers(t *testing.T, change func(*config.HostRoute), changeSettings func(*Settings)) *longAnswers {
	t.Helper()
	l := &longAnswers{}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := l.runs.LoadOrStore(r.Header.Get("X-Id"), new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		if !strings.HasPrefix(r.URL.Path, "/p/") {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		for id := 1; id <= answerPieces; id++ {
			if _, err := io.WriteString(w, pieceOfAnswer(id)); err != nil {
				return
			}
		}
		if strings.HasSuffix(r.URL.Path, "/stalls") {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(service.Close)
	routing := plainRouting(1)
	routing.Routes[0].Timeout = time.Minute
	for _, prefix := range []string{"/stream/", "/resumable/"} {
		route := routing.Routes[0]
		route.Name, route.Prefix, route.Streaming, route.Resumable, route.MaxUpstreams = prefix, prefix, true, prefix == "/resumable/", 2
		routing.Routes = append(routing.Routes, route)
	}
	for i := range routing.Routes {
		change(&routing.Routes[i])
	}
	store := newFakeStore(routing)
	for _, id := range []string{"s1", "s2"} {
		store.list = append(store.list, catalog.Upstream{
			ID: core.UpstreamID(id), Service: "s", Addr: strings.TrimPrefix(service.URL, "http://"), DataCentre: "a", Slots: 64,
		})
	}
	var logged zapcore.Core
	logged, l.logs = observer.New(zap.InfoLevel)
	l.settings, _, _ = startDaemonWith(t, store, zap.New(logged), func(s *Settings) {
		s.RetryAllowance = 1000
		changeSettings(s)
	})
	return l
}

// requestID returns the id of the request that readWithPause sends.
func requestID(path string, pause time.Duration) string {
	return strings.ReplaceAll(path, "/", "-") + pause.String()
}

// readWithPause sends a request from a caller with a small window, and reads its answer with a pause after
// the first bytes. It returns the bytes of the body and how the reading has ended.
func readWithPause(t *testing.T, settings Settings, path string, timeout, pause time.Duration) (body string, err error) {
	t.Helper()
	conn, err := dialWithWindow(settings.CallerAddr, smallWindow)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	id := requestID(path, pause)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: 2\r\n\r\nhi", path, id, timeout.Milliseconds()); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		return "", err
	}
	time.Sleep(pause)
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// dialWithWindow connects with a receive buffer of a size.
func dialWithWindow(addr string, size int) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
	}}
	return dialer.Dial("tcp", addr)
}

// checkLongAnswer checks that a caller that pauses gets all pieces in order.
func checkLongAnswer(t *testing.T, settings Settings, path string, timeout, pause time.Duration) {
	t.Helper()
	is := is.New(t)
	body, err := readWithPause(t, settings, path, timeout, pause)
	is.NoErr(err)
	is.Equal(len(body), answerPieces*pieceBytes)
	for id := 1; id <= answerPieces; id++ {
		is.True(strings.HasPrefix(body[(id-1)*pieceBytes:], fmt.Sprintf("id: %d\n", id)))
	}
}

// Guards against a caller that is cut off because it takes nothing of its answer for some seconds, within
// the time of its request.
func TestCallerThatPausesGetsItsAnswer(t *testing.T) {
	settings := startLongAnswers(t, func(route *config.HostRoute) { route.LatencyTarget = 10 * time.Second }, func(*Settings) {}).settings
	const timeout = 18 * time.Second
	for _, path := range []string{"/p/x", "/stream/x"} {
		for _, pause := range []time.Duration{3 * time.Second, 7 * time.Second, 14 * time.Second} {
			t.Run(path+" "+pause.String(), func(t *testing.T) {
				t.Parallel()
				checkLongAnswer(t, settings, path, timeout, pause)
			})
		}
	}
}

// Guards against a sound engine that is taken for stalled while the caller holds its answer up: the stream
// ends, or runs once more at another engine.
func TestEngineIsNotBlamedForAPauseOfTheCaller(t *testing.T) {
	l := startLongAnswers(t, func(route *config.HostRoute) {
		route.LatencyTarget = 100 * time.Millisecond // streams end after 5 s without an event
		if !route.Streaming || route.Resumable {
			route.RetrySafety, route.MaxUpstreams = config.RetrySafe, 2
		}
		if !route.Streaming {
			route.LatencyTarget = 3 * time.Second // the test's own service must answer within it
		}
	}, func(*Settings) {})
	t.Run("pauses", func(t *testing.T) {
		for _, path := range []string{"/p/x", "/stream/x", "/resumable/x"} {
			for _, pause := range []time.Duration{2800 * time.Millisecond, 5600 * time.Millisecond, 11200 * time.Millisecond} {
				t.Run(path+" "+pause.String(), func(t *testing.T) {
					t.Parallel()
					checkLongAnswer(t, l.settings, path, 18*time.Second, pause)
					is.New(t).Equal(l.runsOf(requestID(path, pause)), int64(1))
				})
			}
		}
	})
	is := is.New(t)
	is.Equal(l.logs.FilterMessage("dispatch: stalled").Len(), 0)
	is.Equal(l.logs.FilterMessage("dispatch: failed").Len(), 0)
}

// Guards against an engine that stalls while its caller pauses and is not noticed when the caller reads on.
func TestEngineThatStallsDuringAPauseIsNoticed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pause = 7 * time.Second
	settings := startLongAnswers(t, func(*config.HostRoute) {}, func(*Settings) {}).settings
	start := time.Now()
	body, err := readWithPause(t, settings, "/stream/stalls", 4*pause, pause)
	is.True(err != nil) // the stream does not look whole
	is.Equal(len(body), answerPieces*pieceBytes)
	took := time.Since(start) - pause
	is.True(took > 4*time.Second && took < 7*time.Second) // 5 s
}

// Guards against time that counts against an Upstream for which this process does not wait, and against a
// wait for it that does not count.
func TestOnlyWaitsForTheUpstreamCountAgainstIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.Int64Range(1, 1000).Draw(t, "limit")) * time.Millisecond
		clock := readClock{limit: limit}
		now := time.Unix(0, 0)
		var waited time.Duration
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if clock.begin(now) != now.Add(limit-waited) {
				t.Fatalf("the wait ends after %s, and %s were waited of %s", clock.begin(now).Sub(now), waited, limit)
			}
			wait := time.Duration(rapid.Int64Range(0, 1000).Draw(t, "wait")) * time.Millisecond
			now, waited = now.Add(wait), waited+wait
			clock.end(now)
			now = now.Add(time.Duration(rapid.Int64Range(0, 10_000).Draw(t, "write")) * time.Millisecond)
			if rapid.Bool().Draw(t, "progress") {
				clock.progress(now)
				waited = 0
			}
		}
	})
}

// Guards against a watch that counts time in which nobody waits for the Upstream, or none at all.
func TestStallWatchRunsOnlyDuringReads(t *testing.T) {
	is := is.New(t)
	reports := make(chan struct{}, 100)
	w := &stallWatch{clock: readClock{limit: 50 * time.Millisecond}, report: func() { reports <- struct{}{} }}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	defer w.stop()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = far.Write([]byte("x")) }() // fails only if the test has ended
	_, err := w.reader(near).Read(make([]byte, 1))
	is.NoErr(err)
	for len(reports) > 0 { // the write may have begun late
		<-reports
	}
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(reports), 0)
	go func() { _, _ = w.reader(near).Read(make([]byte, 1)) }() // ends with the test
	<-reports
}

// Guards against callers whose answers are closed when connections are short, although there are idle ones
// that lose nothing.
func TestAnswersAreKeptWhenConnectionsAreShort(t *testing.T) {
	is := is.New(t)
	const readers, idle, burst, pause = 4, 60, 200, 4 * time.Second
	settings := startLongAnswers(t, func(route *config.HostRoute) { route.LatencyTarget = 10 * time.Second }, func(s *Settings) {
		s.MemoryMB, s.MaxFDs = 112, 400 // 80 connections of callers
	}).settings
	open := func() net.Conn {
		conn, err := net.Dial("tcp", settings.CallerAddr)
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	for i := range idle {
		conn := open()
		_, err := fmt.Fprintf(conn, "GET /nowhere HTTP/1.1\r\nHost: h\r\nX-Id: idle%d\r\n\r\n", i)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		response.Body.Close()
	}
	t.Run("readers", func(t *testing.T) {
		for i := range readers {
			path := fmt.Sprintf("/%s/%d", []string{"p", "stream"}[i%2], i)
			t.Run(path, func(t *testing.T) {
				t.Parallel()
				checkLongAnswer(t, settings, path, 18*time.Second, pause)
			})
		}
		t.Run("burst", func(t *testing.T) {
			t.Parallel()
			time.Sleep(pause / 2)
			for range burst {
				open()
			}
		})
	})
}
