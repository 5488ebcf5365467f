package hosted

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// Guards against a request that is sent seconds after the decision to send it, because the
// process was paused in between.
func TestRequestIsNotSentAfterItsNotAfter(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals.Add(1) }))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	d := newDaemon(t, newFakeStore(plainRouting(1)), zap.NewNop())
	now := d.now()
	response := newResponseWriter(httptest.NewRecorder(), "", func() bool { return false })
	active := &activeRequest{id: "1", response: response, template: UpstreamRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}}
	for _, effect := range []router.Effect{
		router.StartCall{Upstream: "u", URL: addr, NotAfter: now, Deadline: now.Add(time.Minute)},
		router.StartDecode{Upstream: "u", URL: addr, NotAfter: now, Deadline: now.Add(time.Minute)},
		router.StartPrefill{Upstream: "u", URL: addr, NotAfter: now, Deadline: now.Add(time.Minute)},
	} {
		d.executeForRequest(t.Context(), active, effect)
		select {
		case event := <-d.events:
			failed, ok := event.(router.AttemptFailed)
			is.True(ok)
			is.Equal(failed.Failure, attempts.Failure{Kind: attempts.FailExpired, Upstream: "u"})
		default:
			t.Fatalf("%T: nothing was reported", effect)
		}
	}
	is.Equal(arrivals.Load(), int64(0))
}
