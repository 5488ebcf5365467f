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

// rawServer answers each connection with a script.
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

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(id string, repeatable bool) Request {
	return Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, Repeatable: repeatable,
		Match: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// Guards against an answer that belongs to another request: an Upstream may send a
// second, late answer where the next one is expected.
func TestStrayAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err == nil {
			_, _ = io.WriteString(conn, ok("other", "wrong")+ok(id, "right"))
		}
	})
	answer, err := NewPool(PoolOptions{}).Do(context.Background(), addr, get("1", false))
	is.NoErr(err)
	body, err := answer.ReadAll(100)
	is.NoErr(err)
	is.Equal(string(body), "right")
}

// Guards against a kept connection on which bytes of an earlier answer wait.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, ok(id, "x"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, ok(id, "again"))
		}
	})
	pool := NewPool(PoolOptions{})
	for _, id := range []string{"1", "2"} {
		answer, err := pool.Do(context.Background(), addr, get(id, true))
		is.NoErr(err)
		body, err := answer.ReadAll(100)
		is.NoErr(err)
		is.Equal(string(body), "x")
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(connections.Load(), int64(2))
}

// Guards against a truncated answer that looks whole.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	answer, err := NewPool(PoolOptions{}).Do(context.Background(), addr, get("1", false))
	is.NoErr(err)
	_, err = answer.ReadAll(100)
	is.True(err != nil)
}

// Guards against a request that may not run twice and is sent on a connection which
// the Upstream is about to drop.
func TestOnlyRepeatableRequestsUseKeptConnections(t *testing.T) {
	is := is.New(t)
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, ok(id, "x"))
		}
	})
	pool := NewPool(PoolOptions{})
	for i, repeatable := range []bool{true, false, true} {
		answer, err := pool.Do(context.Background(), addr, get(fmt.Sprint(i), repeatable))
		is.NoErr(err)
		_, err = answer.ReadAll(100)
		is.NoErr(err)
	}
	is.Equal(connections.Load(), int64(2)) // the third took a kept one
}

// Guards against a claim that a request was not sent when it was, and the reverse.
func TestFailureSaysWhetherTheRequestWasSent(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := closed.Addr().String()
	closed.Close()
	_, err = NewPool(PoolOptions{}).Do(context.Background(), addr, get("1", false))
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, ConnectFailed)
	is.True(!failure.Sent)

	addr, _ = rawServer(t, func(conn net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	_, err = NewPool(PoolOptions{}).Do(context.Background(), addr, get("1", false))
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, Crashed)
	is.True(failure.Sent)
}

// Guards against a silent Upstream that keeps a request for good.
func TestSilentUpstreamIsNoticed(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		time.Sleep(time.Second)
	})
	q := get("1", false)
	q.HeaderTimeout = 50 * time.Millisecond
	_, err := NewPool(PoolOptions{}).Do(context.Background(), addr, q)
	is.Equal(KindOf(err), Stalled)
}

// Guards against a time limit that was computed before a slow dial, and against a
// request that is sent after its time.
func TestBeforeWriteRunsOnceConnected(t *testing.T) {
	is := is.New(t)
	var got atomic.Value
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err == nil {
			got.Store(id)
			_, _ = io.WriteString(conn, ok("late", "x"))
		}
	})
	q := get("late", false)
	q.BeforeWrite = func(h http.Header) bool {
		h.Set("Id", "late")
		return true
	}
	answer, err := NewPool(PoolOptions{}).Do(context.Background(), addr, q)
	is.NoErr(err)
	answer.Close()
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

// Guards against a request whose body is not whole at an Upstream that answers
// before it has read it, and against the reuse of such a connection.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 4<<20)
	read := make(chan int64, 1)
	addr, connections := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, ok("1", "early"))
		n, _ := io.Copy(io.Discard, request.Body)
		read <- n
	})
	pool := NewPool(PoolOptions{})
	q := get("1", true)
	q.Method, q.Body = http.MethodPost, []byte(body)
	answer, err := pool.Do(context.Background(), addr, q)
	is.NoErr(err)
	text, err := answer.ReadAll(100)
	is.NoErr(err)
	is.Equal(string(text), "early")
	<-read // whole, or broken off with its connection
	answer, err = pool.Do(context.Background(), addr, get("1", true))
	if err == nil {
		answer.Close()
	}
	is.Equal(connections.Load(), int64(2)) // the first one is not used again
}
