package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a write after the request was reported as not sent, and against
// writes of earlier requests on the connection counting as writes of this one.
func TestConnectionIsClosedForWritingWhenNothingWasSent(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	received := make(chan byte, 10)
	go func() {
		var b [1]byte
		for {
			if _, err := far.Read(b[:]); err != nil {
				return
			}
			received <- b[0]
		}
	}()
	conn := &trackedConn{Conn: near, writeTimeout: time.Second}
	_, err := conn.Write([]byte("1")) // an earlier request
	is.NoErr(err)
	is.Equal(<-received, byte('1'))

	var sends sendTracker
	sends.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	is.True(!sends.sent())
	_, err = conn.Write([]byte("2"))
	is.True(errors.Is(err, errWriteClosed))
	is.Equal(len(received), 0)

	sends = sendTracker{}
	sends.gotConn(httptrace.GotConnInfo{Conn: far})
	is.True(sends.sent()) // writes to an untracked connection are not counted
}

// Guards against a request that fails, although nothing was sent, because idle
// connections had been closed before.
func TestClosedIdleConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	both := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == 2 {
			close(both)
		}
		<-both
	}))
	defer s.Close()
	c := New(Options{})
	defer c.Close()
	var mu sync.Mutex
	var conns []*trackedConn
	c.transport(s.Listener.Addr().String()).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := c.dial(ctx, network, addr)
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, conn.(*trackedConn))
		return conn, err
	}
	q := PlainRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")}
	results := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := c.Call(t.Context(), s.URL, q)
			results <- err
		}()
	}
	is.NoErr(<-results)
	is.NoErr(<-results)
	for _, conn := range conns {
		conn.wroteSince(conn.writeCount()) // closes it for writing
	}
	_, err := c.Call(t.Context(), s.URL, q)
	is.NoErr(err)
	is.Equal(arrived.Load(), int64(3))
	is.Equal(len(conns), 3)
}
