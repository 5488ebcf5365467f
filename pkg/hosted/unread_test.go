package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Guards against an engine that is counted as failed because it ended a stream that a slow caller had
// left unread, and against one that crashed and is not counted.
func TestEngineThatEndsAnUnreadStreamHasNotFailed(t *testing.T) {
	for _, test := range []struct {
		name   string
		unread time.Duration // for which the caller reads nothing
		kind   string
	}{{"unread", 3 * time.Second, "unread"}, {"crashed", 0, "crashed"}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			routing := plainRouting(1)
			routing.Routes[0].Streaming, routing.Routes[0].Timeout = true, time.Minute
			routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
			store := newFakeStore(routing, catalog.Upstream{
				ID: "e", Service: "s", Addr: cuttingEngine(t, 1500*time.Millisecond), DataCentre: "a", Stage: catalog.StageDecode, Slots: 4,
			})
			core, logs := observer.New(zap.InfoLevel)
			settings, _, _ := startDaemonWith(t, store, zap.New(core), func(*Settings) {})
			conn, err := net.Dial("tcp", settings.CallerAddr)
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprint(conn, "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi")
			is.NoErr(err)
			time.Sleep(test.unread)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil) // the stream does not look whole
			var detail string
			for deadline := time.Now().Add(5 * time.Second); detail == "" && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				for _, entry := range logs.All() {
					if text, found := entry.ContextMap()["detail"].(string); found && entry.Message == "dispatch: failed" {
						detail = text
					}
				}
			}
			is.True(strings.Contains(detail, "kind="+test.kind))
		})
	}
}

// cuttingEngine sends a stream without end, and ends the connection when nothing was read for a time, or
// after 32 MB.
func cuttingEngine(t *testing.T, patience time.Duration) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				event := "data: " + strings.Repeat("x", 1000) + "\n\n"
				for sent := 0; err == nil && sent < 32<<20; sent += len(event) {
					_ = conn.SetWriteDeadline(time.Now().Add(patience)) // fails only on a closed connection
					_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
