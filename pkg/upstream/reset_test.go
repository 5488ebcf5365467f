package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// resettingServer sends a part of a response without a length while it does not read the body of the
// request, and resets the connection.
func resettingServer(t *testing.T) (addr string) {
	t.Helper()
	addr, _ = rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of ")
			time.Sleep(10 * time.Millisecond)
		}
		_ = conn.(*net.TCPConn).SetLinger(0) // the caller closes with a reset
	})
	return addr
}

// longBody is more than the buffers of a connection hold.
var longBody = bytes.Repeat([]byte("x"), 16<<20)

// Guards against a reset of the connection that is read as the end of a body without a length,
// because the writer of a long request was told of the reset first.
func TestResetIsNotTheEndOfABodyWithoutALength(t *testing.T) {
	is := is.New(t)
	addr := resettingServer(t)
	pool := NewPool(PoolOptions{})
	complete := 0
	for range 20 {
		response, err := pool.Do(t.Context(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: longBody})
		if err != nil {
			continue
		}
		if _, err := response.ReadAll(1 << 20); err == nil {
			complete++
		}
	}
	is.Equal(complete, 0)
}

// Guards against a complete body without a length that counts as broken off, because the end of
// the connection is read before the writer of a long request has reported that it is done.
func TestEndOfABodyWithoutALengthAfterALongRequest(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}
	})
	pool := NewPool(PoolOptions{})
	body := bytes.Repeat([]byte("x"), 4*maxInlineBodyBytes)
	for range 500 {
		response, err := pool.Do(t.Context(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body})
		is.NoErr(err)
		text, err := response.ReadAll(100)
		is.NoErr(err)
		is.Equal(string(text), "whole")
	}
}

// Guards against a reset that a Client reads as the end of a body without a length, because
// the writer of a long request was told of the reset first.
func TestClientDoesNotTakeAResetForTheEnd(t *testing.T) {
	is := is.New(t)
	url := "http://" + resettingServer(t)
	client := New(Options{})
	defer client.Close()
	complete := 0
	for range 20 {
		if _, err := client.Call(t.Context(), url, PlainRequest{Method: http.MethodPost, Path: "/", Body: longBody}); err == nil {
			complete++
		}
	}
	is.Equal(complete, 0)
}

// Guards against a response that a Client takes for complete although the Upstream stopped in the
// middle of its header or body.
func TestClientDoesNotTakeAPartForTheResponse(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nwhole"
	for n := range len(response) + 1 {
		addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(conn, response[:n])
			}
		})
		client := New(Options{})
		got, err := client.Call(t.Context(), "http://"+addr, PlainRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		client.Close()
		is.Equal(err == nil, n == len(response))
		is.Equal(string(got.Body) == "whole", n == len(response))
	}
}
