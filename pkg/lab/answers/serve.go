package answers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Serve starts a server that sends a response to the first request on each connection, and closes it. It
// counts the requests.
func Serve(t testing.TB, response string) (addr string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			requests.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, response)
		}
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
	return listener.Addr().String(), requests
}
