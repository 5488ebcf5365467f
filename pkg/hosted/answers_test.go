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

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// answeringRoute returns a store with one route to one Upstream at addr, which is a model engine or
// a plain service.
func answeringRoute(addr string, streaming, resumable, engine bool) *fakeStore {
	routing := plainRouting(1)
	routing.Routes[0].Streaming, routing.Routes[0].Resumable = streaming, resumable
	up := catalog.Upstream{ID: "e", Service: "s", Addr: addr, DataCentre: "a", Slots: 4}
	if engine {
		routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 100_000, MaxHoldDuration: time.Second}
		up.Stage = catalog.StageDecode
	}
	return newFakeStore(routing, up)
}

func postOnce(t *testing.T, addr string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/p/x", strings.NewReader("body"))
	is.New(t).NoErr(err)
	request.Host = "h"
	request.Header.Set("X-Id", "1")
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}).Do(request)
}

// Guards against answers that are cut, or look whole although they broke off, because of what the
// service of their route is.
func TestAnswersArePassedOnWholeByRouteAndAnswer(t *testing.T) {
	const events, object = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", `{"board":"a","lines":["b","c"]}`
	framings := map[string]func(head, body string, broken bool) string{
		"length": func(head, body string, broken bool) string {
			length := len(body)
			if broken {
				length += 10
			}
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, length, body)
		},
		"chunks": func(head, body string, broken bool) string {
			end := "0\r\n\r\n"
			if broken {
				end = ""
			}
			return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", head, len(body), body, end)
		},
		"until close": func(head, body string, broken bool) string { return head + "\r\n" + body },
	}
	for framing, frame := range framings {
		for _, contentType := range []string{"text/event-stream", "text/event-stream; charset=utf-8", "application/json"} {
			body := events
			if contentType == "application/json" {
				body = object
			}
			for _, broken := range []bool{false, true} {
				if broken && framing == "until close" {
					continue // a reset, see TestBrokenOffResponseLooksIncomplete
				}
				for _, streaming := range []bool{false, true} {
					for _, engine := range []bool{false, true} {
						for _, resumable := range []bool{false, true} {
							if resumable && !streaming {
								continue
							}
							name := fmt.Sprintf("%s, %s, broken=%t, streaming=%t, engine=%t, resumable=%t", framing, contentType, broken, streaming, engine, resumable)
							t.Run(name, func(t *testing.T) {
								t.Parallel()
								is := is.New(t)
								answer := frame("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n", body, broken)
								settings, _, _ := startDaemon(t, answeringRoute(rawEngine(t, answer), streaming, resumable, engine))
								response, err := postOnce(t, settings.CallerAddr)
								var got []byte
								if err == nil {
									defer response.Body.Close()
									got, err = io.ReadAll(response.Body)
								}
								looksWhole := err == nil && response.StatusCode == http.StatusOK
								is.Equal(looksWhole, !broken)
								if looksWhole {
									is.Equal(string(got), body)
									is.Equal(response.Header.Get("Content-Type"), contentType)
								}
							})
						}
					}
				}
			}
		}
	}
}

// Guards against events that wait for the end of their stream.
func TestEventsAreNotHeldBack(t *testing.T) {
	for _, engine := range []bool{false, true} {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("engine=%t, resumable=%t", engine, resumable), func(t *testing.T) {
				is := is.New(t)
				release := make(chan struct{})
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer listener.Close()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
					<-release
					_, _ = io.WriteString(conn, "id: 2\ndata: b\n\n")
				}()
				settings, _, _ := startDaemon(t, answeringRoute(listener.Addr().String(), true, resumable, engine))
				response, err := postOnce(t, settings.CallerAddr)
				is.NoErr(err) // the header arrives before the end
				defer response.Body.Close()
				first := make([]byte, len("id: 1\ndata: a\n\n"))
				_, err = io.ReadFull(response.Body, first)
				is.NoErr(err)
				close(release)
				rest, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(first)+string(rest), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
			})
		}
	}
}
