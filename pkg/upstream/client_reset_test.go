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

// Guards against a reset that a Client reads as the end of a body without a length, because
// the writer of a long request was told of the reset first.
func TestClientDoesNotTakeAResetForTheEnd(t *testing.T) {
	is := is.New(t)
	addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of ")
			time.Sleep(10 * time.Millisecond)
		}
		_ = conn.(*net.TCPConn).SetLinger(0) // the caller closes with a reset
	})
	client := New(Options{})
	defer client.Close()
	body := bytes.Repeat([]byte("x"), 16<<20)
	complete := 0
	for range 20 {
		if _, err := client.Call(t.Context(), "http://"+addr, PlainRequest{Method: http.MethodPost, Path: "/", Body: body}); err == nil {
			complete++
		}
	}
	is.Equal(complete, 0)
}
