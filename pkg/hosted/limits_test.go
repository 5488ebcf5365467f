package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
)

// serviceStore returns a store with one route to a plain service.
func serviceStore(t *testing.T, handler http.HandlerFunc, headerBytes int) *fakeStore {
	t.Helper()
	service := httptest.NewServer(handler)
	t.Cleanup(service.Close)
	routing := plainRouting(1)
	routing.Routes[0].Timeout = time.Minute
	routing.Limits.HeaderBytes = headerBytes
	return newFakeStore(routing, catalog.Upstream{
		ID: "s1", Service: "s", Addr: strings.TrimPrefix(service.URL, "http://"), DataCentre: "a", Slots: 4,
	})
}

// Guards against a limit for headers that is not the configured one.
func TestHeaderLimitIsTheConfiguredOne(t *testing.T) {
	for _, test := range []struct{ limit, header, status int }{
		{131_072, 100_000, 200},
		{131_072, 140_000, 431},
		{16_384, 16_000, 200},
		{16_384, 17_000, 431},
		{0, 60_000, 200},
	} {
		t.Run(fmt.Sprintf("limit %d, header %d", test.limit, test.header), func(t *testing.T) {
			is := is.New(t)
			settings, _, _ := startDaemon(t, serviceStore(t, func(http.ResponseWriter, *http.Request) {}, test.limit))
			request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
			is.NoErr(err)
			request.Host = "h"
			request.Header.Set("X-Id", "1")
			request.Header.Set("X-Long", strings.Repeat("x", test.header))
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.status)
		})
	}
}

// Guards against a slow body that is refused although its request has time left, and against a
// deadline that counts from the end of the body instead of its begin.
func TestSlowBodyHasTheTimeOfItsRequest(t *testing.T) {
	for _, test := range []struct {
		timeout, body time.Duration
		status        int
	}{
		{15 * time.Second, 10500 * time.Millisecond, 200},
		{time.Second, 2 * time.Second, 400},
	} {
		t.Run(fmt.Sprintf("timeout %s, body %s", test.timeout, test.body), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			left := make(chan string, 1)
			settings, _, _ := startDaemon(t, serviceStore(t, func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				left <- string(body) + r.Header.Get("X-Left")
			}, 0))
			conn, err := net.Dial("tcp", settings.CallerAddr)
			is.NoErr(err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Timeout-Ms: %d\r\nContent-Length: 2\r\n\r\nh", test.timeout.Milliseconds())
			time.Sleep(test.body)
			_, _ = io.WriteString(conn, "i") // the connection may be closed
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, test.status)
			if test.status == http.StatusOK {
				var ms int64
				_, err := fmt.Sscanf(<-left, "hi%d", &ms)
				is.NoErr(err)
				is.True(ms <= (test.timeout - test.body).Milliseconds())
			}
		})
	}
}

// Guards against an Upstream that goes on working for a caller who has closed the connection: a caller
// who closes only its sending side can't be told from that.
func TestClosedSendingSideEndsTheRequest(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	settings, _, _ := startDaemon(t, serviceStore(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	}, 0))
	conn, err := net.Dial("tcp", settings.CallerAddr)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi")
	<-started
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request goes on")
	}
}

// Guards against a limit on the number of fields that a header section of legal size meets.
func TestRequestOfManyShortFieldsIsServed(t *testing.T) {
	is := is.New(t)
	const limit, fields = 16_384, 2_000
	settings, _, _ := startDaemon(t, serviceStore(t, func(http.ResponseWriter, *http.Request) {}, limit))
	request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
	is.NoErr(err)
	request.Host = "h"
	request.Header.Set("X-Id", "1")
	for i := range fields {
		request.Header[fmt.Sprintf("%X", i)] = []string{""}
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
}
