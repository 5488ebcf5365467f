package hosted

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/heap"
)

// endlessServer answers each request with start, and then with piece again and again until the
// connection is closed. In a piece, %d is a number that counts up.
func endlessServer(t *testing.T, start, piece string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	var pieces bytes.Buffer // the same for all connections, so that the test holds little memory itself
	for n := 0; pieces.Len() < 64<<10; n++ {
		pieces.WriteString(strings.ReplaceAll(piece, "%d", fmt.Sprint(n)))
	}
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
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = conn.Write(pieces.Bytes())
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against engines that fill the memory of an Instance with bytes that are no answer: each
// request of many holds what its engine has sent so far.
func TestEndlessBytesOfManyEnginesAreBounded(t *testing.T) {
	const (
		requests   = 200
		head       = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		chunked    = head + "Transfer-Encoding: chunked\r\n\r\n"
		untilClose = head + "\r\n"
	)
	// As the daemon of the smallest machine does. Without it, the heap of a process that gets little
	// processor time grows beyond twice what is in use, by what is allocated while the collector runs.
	before := debug.SetMemoryLimit(smallestMemory * runtimeMemoryPercent / 100)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	junk := strings.Repeat("x", 1000)
	for _, test := range []struct{ name, start, piece string }{
		{"event", untilClose, junk},
		{"event in chunks", chunked, "3e8\r\n" + junk + "\r\n"},
		{"event after complete events", untilClose + "id: 1\ndata: a\n\n", "data: " + junk + "\n"},
		{"body of a failure", "HTTP/1.1 500 No\r\n\r\n", junk},
		{"header lines", head, "A%d:\r\n"},
		{"one header", head + "X: ", junk},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA%d:\r\n\r\n"},
		{"status line", "HTTP/1.1 200 ", junk},
		{"no answer", "", junk},
		{"chunk extension", chunked + "1;", junk},
		{"chunk extensions", chunked, "1;" + junk + "\r\nx\r\n"},
		{"trailers", chunked + "f\r\nid: 1\ndata: a\n\n\r\n0\r\n", "A%d: x\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			routing := plainRouting(1)
			routing.Routes[0].Streaming, routing.Routes[0].Resumable = true, true
			routing.Services[0].Engine = &config.EngineProfile{Slots: requests, KVCacheTokens: 1_000_000, MaxHoldDuration: time.Second}
			settings, _, _ := startDaemon(t, newFakeStore(routing, catalog.Upstream{
				ID: "e", Service: "s", Addr: endlessServer(t, test.start, test.piece), DataCentre: "a", Stage: catalog.StageDecode, Slots: requests,
			}))
			client := &http.Client{Transport: &http.Transport{}}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var mu sync.Mutex
			whole := 0
			growth := heap.Peak(func() {
				var running sync.WaitGroup
				for n := range requests {
					running.Go(func() {
						request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
						is.NoErr(err)
						request.Host = "h"
						request.Header.Set("X-Id", fmt.Sprint(n))
						response, err := client.Do(request)
						if err != nil {
							return
						}
						defer response.Body.Close()
						if _, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
							mu.Lock()
							defer mu.Unlock()
							whole++
						}
					})
				}
				running.Wait()
			})
			t.Logf("the heap grew by %d MB", growth>>20)
			is.NoErr(ctx.Err()) // each request has ended within its time limit
			is.Equal(whole, 0)  // an answer that never ends is not whole
			// The collector lets the heap grow to twice what is in use.
			is.True(growth < smallestMemory/2)
		})
	}
}

// smallestMemory is the memory of the smallest Instance in bytes.
const smallestMemory = 112 << 20

// Guards against a limit on bytes without end that also breaks off a large event or a large answer, or
// makes small ones wait for them.
func TestLargeAnswersArePassedOn(t *testing.T) {
	const large = 900 << 10
	for name, answer := range map[string]string{
		"small event": "id: 1\ndata: " + "x" + "\n\n",
		"large event": "id: 1\ndata: " + strings.Repeat("x", large) + "\n\nid: 2\ndata: b\n\n",
	} {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable=%t", name, resumable), func(t *testing.T) {
				is := is.New(t)
				routing := plainRouting(1)
				routing.Routes[0].Streaming, routing.Routes[0].Resumable = true, resumable
				routing.Services[0].Engine = &config.EngineProfile{Slots: 40, KVCacheTokens: 100_000, MaxHoldDuration: time.Second}
				settings, _, _ := startDaemon(t, newFakeStore(routing, catalog.Upstream{
					ID: "e", Service: "s", Addr: rawEngine(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+answer),
					DataCentre: "a", Stage: catalog.StageDecode, Slots: 40,
				}))
				var running sync.WaitGroup
				for n := range 12 {
					running.Go(func() {
						request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
						is.NoErr(err)
						request.Host = "h"
						request.Header.Set("X-Id", fmt.Sprint(n))
						response, err := http.DefaultClient.Do(request)
						is.NoErr(err)
						defer response.Body.Close()
						body, err := io.ReadAll(response.Body)
						is.NoErr(err)
						is.Equal(len(body), len(answer))
					})
				}
				running.Wait()
			})
		}
	}
}
