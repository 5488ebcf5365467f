package hosted

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// callerView is what a caller of a response sees.
type callerView struct {
	status   int
	body     string
	complete bool // the response has the end that its framing demands
}

// callRaw sends a request for a path with a protocol version and returns what a caller makes of
// the response.
func callRaw(t *testing.T, settings Settings, protocol, path string) callerView {
	t.Helper()
	return callRawWith(t, settings, protocol, path, "")
}

// callRawWith is callRaw with further lines of the request's header.
func callRawWith(t *testing.T, settings Settings, protocol, path, header string) callerView {
	t.Helper()
	conn, err := net.Dial("tcp", settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /p/%s %s\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 2\r\n%s\r\nhi", path, protocol, header); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerView{}
	}
	body, err := io.ReadAll(response.Body)
	return callerView{status: response.StatusCode, body: string(body), complete: err == nil}
}

// startEngines starts a Daemon with engines behind a streaming route, one at each address.
func startEngines(t *testing.T, resumable bool, addrs ...string) Settings {
	t.Helper()
	routing := plainRouting(1)
	route := &routing.Routes[0]
	route.Streaming, route.Resumable, route.MaxUpstreams = true, resumable, len(addrs)
	routing.Services[0].Engine = &config.EngineProfile{Slots: 4, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
	store := newFakeStore(routing)
	for i, addr := range addrs {
		store.list = append(store.list, catalog.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("e%d", i)), Service: "s", Addr: addr, DataCentre: "a", Stage: catalog.StageDecode, Slots: 4,
		})
	}
	settings, _, _ := startDaemonWith(t, store, zap.NewNop(), func(s *Settings) { s.RetryAllowance = 1000 })
	return settings
}

// scriptedEngine answers the requests for a path with the responses of the path in turn, the
// last one again and again, and closes each connection.
func scriptedEngine(t *testing.T, responses map[string][]string) (addr string) {
	t.Helper()
	var mu sync.Mutex
	return serveRaw(t, func(r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		path := strings.TrimPrefix(r.URL.Path, "/p/")
		remaining := responses[path]
		if len(remaining) > 1 {
			responses[path] = remaining[1:]
		}
		return remaining[0]
	})
}

// framings returns the ways to send a body whose end is where the engine stopped.
func framings(contentType, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n"
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return map[string]string{
		"until-close": head + "\r\n" + body,
		"length":      fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":      head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
	}
}

// Guards against a stream that looks complete to its caller although its engine broke it off,
// whatever the engine says of its type and however it marks the end.
func TestBrokenOffStreamOfAnyTypeLooksIncomplete(t *testing.T) {
	places := map[string]struct {
		body     string
		complete bool
	}{
		"after-an-event":        {"id: 1\ndata: a\n\n", true},
		"before-the-first":      {"", false},
		"after-a-comment":       {": hello\n\n", false},
		"inside-the-first":      {"id: 1\nda", false},
		"inside-the-second":     {"id: 1\ndata: a\n\nid: 2\ndata: b", false},
		"before-the-empty-line": {"id: 1\ndata: a\n\nid: 2\ndata: b\n", false},
		"in-the-empty-line":     {"id: 1\r\ndata: a\r\n\r", false},
	}
	responses := map[string][]string{}
	complete := map[string]bool{}
	for i, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=utf-8", "text/plain", ""} {
		for place, test := range places {
			for framing, response := range framings(contentType, test.body) {
				path := fmt.Sprintf("type-%d/%s/%s", i, place, framing)
				responses[path], complete[path] = []string{response}, test.complete
			}
		}
	}
	for _, resumable := range []bool{false, true} {
		settings := startEngines(t, resumable, scriptedEngine(t, maps.Clone(responses)))
		for path := range responses {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(fmt.Sprintf("%s/resumable=%t/%s", protocol, resumable, path), func(t *testing.T) {
					view := callRaw(t, settings, protocol, path)
					is.New(t).Equal(view.complete && view.status == http.StatusOK, complete[path])
				})
			}
		}
	}
}

// Guards against a stream that its caller resumes and that looks complete although its engine broke
// it off, or sent events that the caller has.
func TestBrokenOffResumedStreamLooksIncomplete(t *testing.T) {
	const framed = "length chunks" // an engine may have nothing to add, but the end of a connection doesn't say so
	places := map[string]struct{ body, complete string }{
		"after-an-event":          {"id: 2\ndata: b\n\n", framed + " until-close"},
		"after-a-comment":         {": hello\n\n", framed},
		"nothing":                 {"", framed},
		"inside-the-first":        {"id: 2\nda", ""},
		"inside-the-second":       {"id: 2\ndata: b\n\nid: 3\ndata: c", ""},
		"before-the-empty-line":   {"id: 2\ndata: b\n\nid: 3\ndata: c\n", ""},
		"in-the-empty-line":       {"id: 2\r\ndata: b\r\n\r", ""},
		"event-that-caller-has":   {"id: 1\ndata: a\n\n", ""},
		"event-without-an-id":     {"data: b\n\n", ""},
		"second-event-without-id": {"id: 2\ndata: b\n\ndata: c\n\n", ""},
	}
	responses := map[string][]string{}
	complete := map[string]bool{}
	for place, test := range places {
		for framing, response := range framings("text/event-stream", test.body) {
			path := place + "/" + framing
			responses[path], complete[path] = []string{response}, strings.Contains(test.complete, framing)
		}
	}
	settings := startEngines(t, true, scriptedEngine(t, maps.Clone(responses)))
	for path := range responses {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(protocol+"/"+path, func(t *testing.T) {
				is := is.New(t)
				view := callRawWith(t, settings, protocol, path, "Last-Event-Id: 1\r\n")
				is.Equal(view.complete && view.status == http.StatusOK, complete[path])
				is.True(!strings.Contains(view.body, "id: 1\n"))
			})
		}
	}
}

// Guards against a response that looks complete although its engine stopped in the middle of
// its header or body.
func TestResponseThatEndsEarlyLooksIncomplete(t *testing.T) {
	const body = "id: 1\ndata: abcd\n\n"
	for framing, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 18\r\n\r\n" + body,
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n" + body + "\r\n0\r\n\r\n",
	} {
		responses := map[string][]string{}
		for n := range len(response) + 1 {
			responses[strconv.Itoa(n)] = []string{response[:n]}
		}
		addr := scriptedEngine(t, responses)
		plain, _, _ := startDaemon(t, newFakeStore(plainRouting(1), catalog.Upstream{ID: "s1", Service: "s", Addr: addr, DataCentre: "a"}))
		for kind, settings := range map[string]Settings{"stream": startEngines(t, false, addr), "plain": plain} {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(framing+"/"+kind+"/"+protocol, func(t *testing.T) {
					is := is.New(t)
					for n := range len(response) {
						view := callRaw(t, settings, protocol, strconv.Itoa(n))
						is.True(view.status != http.StatusOK || !view.complete)
					}
					view := callRaw(t, settings, protocol, strconv.Itoa(len(response)))
					is.Equal(view, callerView{status: http.StatusOK, body: body, complete: true})
				})
			}
		}
	}
}

// Guards against a stream that goes on with the error response of another engine, or that ends
// as if it were complete there.
func TestStreamIsNotContinuedWithAnError(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	const begin = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event + "id: 2\nda"
	responses := map[string][]string{
		"error":                  {begin, "HTTP/1.1 500 Oops\r\nContent-Length: 10\r\n\r\noops\n\noops"},
		"error-without-a-length": {begin, "HTTP/1.1 500 Oops\r\n\r\noops\n\n"},
		"refusal":                {begin, "HTTP/1.1 503 Full\r\nContent-Length: 6\r\n\r\nfull\n\n"},
		"redirect":               {begin, "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"},
		"no-content":             {begin, "HTTP/1.1 204 No Content\r\n\r\n"},
		"other-success":          {begin, "HTTP/1.1 202 Accepted\r\nContent-Length: 6\r\n\r\nlater\n"},
		"no-event": {begin, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n" +
			"{\"error\":\n\n\"full\"}"},
		"nothing-until-close":  {begin, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"},
		"part-of-a-header":     {begin, "HTTP/1.1 500 Oops\r\nContent-Le"},
		"not-HTTP":             {begin, "oops\n\n"},
		"second-header":        {begin, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 Oops\r\n\r\n"},
		"nothing":              {begin, ""},
		"event-from-the-start": {begin, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event},
	}
	addr := scriptedEngine(t, maps.Clone(responses))
	settings := startEngines(t, true, addr, addr)
	for path := range responses {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			view := callRaw(t, settings, "HTTP/1.1", path)
			is.Equal(view.status, http.StatusOK)
			is.Equal(view.body, event)
			is.True(!view.complete)
		})
	}
}

// Guards against a stream that another engine repeats from the start, because its events have
// no ids to resume it after.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\n\r\ndata: a\n\n"
	addr := scriptedEngine(t, map[string][]string{"x": {response + "da", response}})
	view := callRaw(t, startEngines(t, true, addr, addr), "HTTP/1.1", "x")
	is.Equal(view, callerView{status: http.StatusOK, body: "data: a\n\n"})
}

// Guards against a stream that is broken off although another engine has continued it.
func TestBrokenOffStreamIsContinued(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	addr := scriptedEngine(t, map[string][]string{
		"inside-an-event":      {head + "\r\nid: 1\ndata: a\n\nid: 2\nda", head + "\r\nid: 2\ndata: b\n\n"},
		"comments":             {head + "\r\nid: 1\ndata: a\n\nid: 2\nda", head + "\r\n: wait\n\nid: 2\ndata: b\n\n"},
		"after-the-last-event": {head + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: abc\n\r\n1\r\n\n\r\n", head + "Content-Length: 0\r\n\r\n"},
	})
	settings := startEngines(t, true, addr, addr)
	for path, body := range map[string]string{
		"inside-an-event":      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"comments":             "id: 1\ndata: a\n\n: wait\n\nid: 2\ndata: b\n\n",
		"after-the-last-event": "id: 1\ndata: abc\n\n",
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			view := callRaw(t, settings, "HTTP/1.1", path)
			is.Equal(view, callerView{status: http.StatusOK, body: body, complete: true})
		})
	}
}
