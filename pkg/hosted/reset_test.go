package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// resettingUpstream resets the connection of the first request for each path after a part of its
// response, and serves the others. It counts the runs by path.
type resettingUpstream struct {
	addr string
	mu   sync.Mutex
	runs map[string]int
}

func (u *resettingUpstream) runsOf(path string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs["/p/"+path]
}

// startResettingUpstream sends part of the response to the first request for each path. part returns
// "" where the connection is reset before the response.
func startResettingUpstream(t *testing.T, part func(path string) string, whole func(r *http.Request) string) *resettingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	u := &resettingUpstream{addr: listener.Addr().String(), runs: map[string]int{}}
	serve := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		u.mu.Lock()
		u.runs[r.URL.Path]++
		first := u.runs[r.URL.Path] == 1
		u.mu.Unlock()
		if !first {
			_, _ = io.WriteString(conn, whole(r)) // fails when the Instance has closed the connection
			return
		}
		_, _ = io.WriteString(conn, part(r.URL.Path))
		time.Sleep(20 * time.Millisecond) // a reset discards what was not read
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return u
}

const (
	responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	streamHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
)

// resetPositions are the parts of a response after which a connection is reset.
var resetPositions = map[string]string{
	"before-the-head": "", "inside-the-head": "HTTP/1.1 200 OK\r\nContent-", "after-the-head": responseHead, "inside-the-body": responseHead + "half",
}

// promisesNotRun reports whether a status tells a caller that its request has not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// Guards against a second run of a request that may run once, a wrong "not run", and a part of a
// response that looks whole, wherever the connection to an Upstream is reset. A request that may be
// repeated gets its whole response.
func TestResetConnectionOfACall(t *testing.T) {
	part := func(path string) string { return resetPositions[strings.TrimPrefix(path, "/p/")] }
	whole := func(*http.Request) string { return responseHead + "whole body" }
	for _, safety := range []config.RetrySafety{config.RetryNever, config.RetrySafe} {
		u := startResettingUpstream(t, part, whole)
		routing := plainRouting(1)
		routing.Routes[0].RetrySafety, routing.Routes[0].MaxUpstreams = safety, 2
		store := newFakeStore(routing)
		for _, id := range []core.UpstreamID{"one", "two"} {
			store.list = append(store.list, catalog.Upstream{ID: id, Service: "s", Addr: u.addr, DataCentre: "a", Slots: 4})
		}
		settings, _, _ := startDaemonWith(t, store, zap.NewNop(), func(s *Settings) { s.RetryAllowance = 1000 })
		for position := range resetPositions {
			t.Run(fmt.Sprintf("%v/%s", safety, position), func(t *testing.T) {
				is := is.New(t)
				view := callRaw(t, settings, "HTTP/1.1", position)
				if safety == config.RetrySafe {
					is.Equal(view, callerView{status: http.StatusOK, body: "whole body", complete: true})
					is.Equal(u.runsOf(position), 2)
					return
				}
				is.Equal(u.runsOf(position), 1)
				is.True(!promisesNotRun(view.status))
				is.True(view.status != http.StatusOK || !view.complete)
			})
		}
	}
}

// Guards against the same for streams. One that may be resumed goes on after its last whole event.
func TestResetConnectionOfAStream(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	parts := map[string]string{
		"before-the-head": "", "inside-the-head": "HTTP/1.1 200 OK\r\nContent-", "after-the-head": streamHead,
		"inside-an-event": streamHead + first + "id: 2\nda", "between-events": streamHead + first,
	}
	part := func(path string) string { return parts[strings.TrimPrefix(path, "/p/")] }
	whole := func(r *http.Request) string {
		if strings.Contains(part(r.URL.Path), first) { // the stream goes on after the first event
			return streamHead + second
		}
		return streamHead + first + second
	}
	for _, resumable := range []bool{false, true} {
		u := startResettingUpstream(t, part, whole)
		settings := startEngines(t, resumable, u.addr, u.addr)
		for position := range parts {
			t.Run(fmt.Sprintf("resumable=%t/%s", resumable, position), func(t *testing.T) {
				is := is.New(t)
				view := callRaw(t, settings, "HTTP/1.1", position)
				if resumable {
					is.Equal(u.runsOf(position), 2)
					is.Equal(view, callerView{status: http.StatusOK, body: first + second, complete: true})
					return
				}
				is.Equal(u.runsOf(position), 1)
				is.True(!promisesNotRun(view.status))
				is.True(view.status != http.StatusOK || !view.complete)
			})
		}
	}
}

// Guards against the run of a request that was not received whole, and against an Instance that does
// not go on, when the connection of a caller is reset.
func TestResetConnectionOfACaller(t *testing.T) {
	is := is.New(t)
	u := startResettingUpstream(t, func(string) string { return responseHead + "whole body" }, func(*http.Request) string { return responseHead + "whole body" })
	settings, _, _ := startDaemon(t, newFakeStore(plainRouting(1), catalog.Upstream{ID: "one", Service: "s", Addr: u.addr, DataCentre: "a", Slots: 4}))
	for name, sent := range map[string]string{
		"idle":            "",
		"inside-the-head": "POST /p/inside-the-head HTTP/1.1\r\nHost: h\r\nX-",
		"inside-the-body": "POST /p/inside-the-body HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nContent-Length: 100\r\n\r\nhalf",
	} {
		conn, err := net.Dial("tcp", settings.CallerAddr)
		is.NoErr(err)
		_, err = io.WriteString(conn, sent)
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		is.NoErr(conn.(*net.TCPConn).SetLinger(0))
		is.NoErr(conn.Close())
		time.Sleep(100 * time.Millisecond)
		is.Equal(u.runsOf(name), 0)
		is.Equal(callRaw(t, settings, "HTTP/1.1", "after-"+name).status, http.StatusOK)
	}
}
