package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that is cut off because it reads nothing for longer than the time after which an
// unresponsive one is, although it may pause for the time of a write.
func TestCallerThatPausesIsNotUnresponsive(t *testing.T) {
	is := is.New(t)
	const (
		pause     = 10 * time.Second
		writeTime = 2 * pause
		size      = 16 << 20 // more than the buffers of both sides hold
	)
	listener, err := listenCallers("127.0.0.1:0")
	is.NoErr(err)
	var limits Server
	server := &http.Server{ConnState: limits.countConnections, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime)) // of an open connection
		_, _ = w.Write(make([]byte, size))                                            // the caller counts the bytes
	})}
	go server.Serve(listener) //nolint // ends when the server is closed
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	time.Sleep(pause)
	n, err := io.Copy(io.Discard, conn)
	is.NoErr(err)
	is.True(n > size) // the header comes before
}
