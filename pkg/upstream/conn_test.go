package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a write after the request was reported as not sent, and against
// earlier requests on the connection being taken for this one.
func TestConnectionIsSealedWhenNothingWasSent(t *testing.T) {
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
	is.True(errors.Is(err, errSealed))
	is.Equal(len(received), 0)

	sends = sendTracker{}
	sends.gotConn(httptrace.GotConnInfo{Conn: far})
	is.True(sends.sent()) // nothing is known about such a connection
}

// Guards against a failure for the caller when an idle connection had ended before
// anything was sent on it.
func TestEndedIdleConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	arrived := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	defer s.Close()
	c := New(Options{})
	defer c.Close()
	var conns []*trackedConn
	c.transport(s.Listener.Addr().String()).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := c.dial(ctx, network, addr)
		conns = append(conns, conn.(*trackedConn))
		return conn, err
	}
	q := PlainRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")}
	_, err := c.Call(t.Context(), s.URL, q)
	is.NoErr(err)
	conns[0].wroteSince(conns[0].writeCount()) // seals it
	_, err = c.Call(t.Context(), s.URL, q)
	is.NoErr(err)
	is.Equal(arrived, 2)
	is.Equal(len(conns), 2)
}
