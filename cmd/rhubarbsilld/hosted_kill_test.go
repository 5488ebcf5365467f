package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Guards against a stream that looks complete because the process of its Instance was killed,
// also to a caller of HTTP/1.0, which takes the end of the connection for that of the stream.
func TestStreamOfAKilledInstanceLooksIncomplete(t *testing.T) {
	f := startHostedFleet(t)
	for i, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		is := is.New(t)
		conn, err := net.Dial("tcp", f.settings[i].CallerAddr)
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
		_, err = fmt.Fprintf(conn, "POST %sx %s\r\nHost: %s\r\n%s: killed-%d\r\n%s: 8000\r\n%s: Bearer %s\r\n%s: m\r\n%s: 1000,400\r\nContent-Length: 2\r\n\r\nhi",
			standin.ResumableStreamPath, protocol, standin.Host, wire.HeaderRequestID, i, wire.HeaderDeadlineMS, wire.HeaderAuth, hostedKey,
			wire.HeaderModel, wire.HeaderTokens)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.ReadFull(response.Body, make([]byte, len("id: 1\n")))
		is.NoErr(err)
		is.NoErr(f.processes[i].Process.Kill())
		_, err = io.Copy(io.Discard, response.Body)
		is.True(err != nil)
	}
}
