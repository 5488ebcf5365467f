package hosted

import (
	"fmt"
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
