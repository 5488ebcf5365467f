package hosted

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Guards against a response that broke off and looks complete to its caller, also to one
// that knows no chunks and takes the end of the connection for that of the response.
func TestBrokenOffResponseLooksIncomplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for name, test := range map[string]struct {
			response string
			complete bool
		}{
			"complete":   {head + "10\r\nid: 1\ndata: abc\n\r\n1\r\n\n\r\n0\r\n\r\n", true},
			"broken off": {head + "10\r\nid: 1\ndata: abc\n\r\n1\r\n\n\r\n", false},
		} {
			t.Run(protocol+" "+name, func(t *testing.T) {
				is := is.New(t)
				routing := plainRouting(1)
				routing.Routes[0].Streaming = true
				routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
				settings, _, _ := startDaemon(t, newFakeStore(routing, catalog.Upstream{
					ID: "e", Service: "s", Addr: rawEngine(t, test.response), DataCentre: "a", Stage: catalog.StageDecode, Slots: 4,
				}))
				conn, err := net.Dial("tcp", settings.CallerAddr)
				is.NoErr(err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "POST /p/x %s\r\nHost: h\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", protocol)
				is.NoErr(err)
				text, err := io.ReadAll(conn)
				is.True(strings.HasPrefix(string(text), protocol+" 200") || err != nil)
				complete := err == nil && (protocol == "HTTP/1.0" || strings.HasSuffix(string(text), "0\r\n\r\n"))
				is.Equal(complete, test.complete)
			})
		}
	}
}
