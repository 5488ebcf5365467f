package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawServer runs serve for each connection, which it closes afterwards.
func rawServer(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) (addr string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), connections
}

func readRequest(r *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	return request.Header.Get("Id") + string(body), err
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func getRequest(id string, repeatable bool) Request {
	return Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, SafeToRetry: repeatable,
		Match: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// Guards against a response that belongs to another request: an Upstream may send a
// second, late response where the next one is expected.
func TestStrayAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err == nil {
			_, _ = io.WriteString(conn, okResponse("other", "wrong")+okResponse(id, "right"))
		}
	})
	response, err := NewPool(PoolOptions{}).Do(context.Background(), addr, getRequest("1", false))
	is.NoErr(err)
	body, err := response.ReadAll(100)
	is.NoErr(err)
	is.Equal(string(body), "right")
}

// Guards against the reuse of a connection with unread bytes of an earlier response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, okResponse(id, "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, okResponse(id, "again"))
		}
	})
	pool := NewPool(PoolOptions{})
	for _, id := range []string{"1", "2"} {
		response, err := pool.Do(context.Background(), addr, getRequest(id, true))
		is.NoErr(err)
		body, err := response.ReadAll(100)
		is.NoErr(err)
		is.Equal(string(body), "x")
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(connections.Load(), int64(2))
}

// Guards against a truncated response that looks complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	response, err := NewPool(PoolOptions{}).Do(context.Background(), addr, getRequest("1", false))
	is.NoErr(err)
	_, err = response.ReadAll(100)
	is.True(err != nil)
}

// Guards against a request that is not safe to retry being sent on an idle connection
// which the Upstream is about to close.
func TestOnlyRepeatableRequestsUseIdleConnections(t *testing.T) {
	is := is.New(t)
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, okResponse(id, "x"))
		}
	})
	pool := NewPool(PoolOptions{})
	for i, repeatable := range []bool{true, false, true} {
		response, err := pool.Do(context.Background(), addr, getRequest(fmt.Sprint(i), repeatable))
		is.NoErr(err)
		_, err = response.ReadAll(100)
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(2)) // the third request reuses one
}

// Guards against an error that reports a request as not sent when it was, and the
// reverse.
func TestFailureReportsWhetherTheRequestWasSent(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := closed.Addr().String()
	closed.Close()
	_, err = NewPool(PoolOptions{}).Do(context.Background(), addr, getRequest("1", false))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, ConnectFailed)
	is.True(!failure.Sent)

	addr, _ = rawServer(t, func(conn net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	_, err = NewPool(PoolOptions{}).Do(context.Background(), addr, getRequest("1", false))
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, Crashed)
	is.True(failure.Sent)
}

// Guards against a request that hangs because its Upstream is unresponsive.
func TestUnresponsiveUpstreamIsDetected(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		time.Sleep(time.Second)
	})
	q := getRequest("1", false)
	q.HeaderTimeout = 50 * time.Millisecond
	_, err := NewPool(PoolOptions{}).Do(context.Background(), addr, q)
	is.Equal(KindOf(err), Stalled)
}

// Guards against a timeout header that was computed before a slow dial, and against a
// request that is sent after its deadline.
func TestBeforeWriteRunsOnceConnected(t *testing.T) {
	is := is.New(t)
	var got atomic.Value
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err == nil {
			got.Store(id)
			_, _ = io.WriteString(conn, okResponse("late", "x"))
		}
	})
	q := getRequest("late", false)
	q.BeforeWrite = func(h http.Header) bool {
		h.Set("Id", "late")
		return true
	}
	response, err := NewPool(PoolOptions{}).Do(context.Background(), addr, q)
	is.NoErr(err)
	response.Close()
	is.Equal(got.Load(), "late")

	q.BeforeWrite = func(http.Header) bool { return false }
	_, err = NewPool(PoolOptions{}).Do(context.Background(), addr, q)
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
	for end := time.Now().Add(time.Second); connections.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the server may accept later than the client connects
	}
	is.Equal(connections.Load(), int64(2))
}

// Guards against a truncated request body at an Upstream that responds before it has
// read the body, and against the reuse of such a connection.
func TestEarlyResponseToALongBody(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 4<<20)
	read := make(chan int64, 1)
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse("1", "early"))
		n, _ := io.Copy(io.Discard, request.Body)
		read <- n
	})
	pool := NewPool(PoolOptions{})
	q := getRequest("1", true)
	q.Method, q.Body = http.MethodPost, []byte(body)
	response, err := pool.Do(context.Background(), addr, q)
	is.NoErr(err)
	text, err := response.ReadAll(100)
	is.NoErr(err)
	is.Equal(string(text), "early")
	<-read // complete, or aborted with its connection
	response, err = pool.Do(context.Background(), addr, getRequest("1", true))
	if err == nil {
		response.Close()
	}
	is.Equal(connections.Load(), int64(2)) // the first one is not reused
}

// Guards against an Upstream that sends bytes without end where a header is due.
func TestEndlessHeaderEndsTheExchange(t *testing.T) {
	for name, pieces := range map[string][2]string{
		"no line end":       {"", strings.Repeat("x", 1000)},
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Y: " + strings.Repeat("z", 100) + "\r\n"},
		"one header":        {"HTTP/1.1 200 OK\r\nX-Y: ", strings.Repeat("z", 1000)},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			closed := make(chan struct{})
			addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				_, _ = readRequest(r)
				_, err := io.WriteString(conn, pieces[0])
				for err == nil && written.Load() < 256<<20 {
					_, err = io.WriteString(conn, pieces[1])
					written.Add(int64(len(pieces[1])))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := NewPool(PoolOptions{}).Do(ctx, addr, getRequest("1", false))
			is.True(err != nil)
			is.NoErr(ctx.Err())
			<-closed
			is.True(written.Load() < 32<<20) // what the buffers of the connection hold
		})
	}
}

// Guards against a limit for headers that also cuts bodies.
func TestLongBodyAfterAHeaderIsComplete(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 256<<10)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for range 2 {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, okResponse(id, text))
		}
	})
	pool := NewPool(PoolOptions{})
	for range 2 { // the second one on the same connection
		response, err := pool.Do(context.Background(), addr, getRequest("1", true))
		is.NoErr(err)
		body, err := response.ReadAll(int64(len(text)))
		is.NoErr(err)
		is.Equal(len(body), len(text))
	}
}
