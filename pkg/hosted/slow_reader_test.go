package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

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

// startLongAnswers starts a Daemon before a service whose answers are long: at /p/ one body, at
// /stream/ and /resumable/ events as fast as they are taken. change sets what the routes have in common, changeSettings what
// the settings have beside the defaults.
func startLongAnswers(t *testing.T, change func(*config.HostRoute), changeSettings func(*Settings)) Settings {
	t.Helper()
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/p/") {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		for id := 1; id <= answerPieces; id++ {
			if _, err := io.WriteString(w, pieceOfAnswer(id)); err != nil {
				return
			}
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
	settings, _, _ := startDaemonWith(t, store, zap.NewNop(), func(s *Settings) {
		s.RetryAllowance = 1000
		changeSettings(s)
	})
	return settings
}

// readWithPause sends a request from a caller with a small window, and reads its answer with a pause after
// the first bytes. It returns the bytes of the body and how the reading has ended.
func readWithPause(t *testing.T, settings Settings, path string, timeout, pause time.Duration) (body string, err error) {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		})
	}}
	conn, err := dialer.Dial("tcp", settings.CallerAddr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	id := strings.ReplaceAll(path, "/", "-") + pause.String()
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
	settings := startLongAnswers(t, func(route *config.HostRoute) { route.LatencyTarget = 10 * time.Second }, func(*Settings) {})
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

// Guards against callers whose answers are closed when connections are short, although there are idle ones
// that lose nothing.
func TestAnswersAreKeptWhenConnectionsAreShort(t *testing.T) {
	is := is.New(t)
	const readers, idle, burst, pause = 4, 60, 200, 4 * time.Second
	settings := startLongAnswers(t, func(route *config.HostRoute) { route.LatencyTarget = 10 * time.Second }, func(s *Settings) {
		s.MemoryMB, s.MaxFDs = 112, 400 // 80 connections of callers
	})
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
