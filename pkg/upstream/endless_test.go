package upstream_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/heap"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// Guards against plain services that fill the memory of an Instance with responses without end, of
// many calls at the same time.
func TestEndlessResponsesToManyCallsAreBounded(t *testing.T) {
	is := is.New(t)
	const (
		calls      = 60
		maxGrowth  = 56 << 20 // bytes: half of the memory of the smallest Instance
		pieceBytes = 64 << 10
	)
	piece := []byte(strings.Repeat("x", pieceBytes))
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for err == nil {
			_, err = w.Write(piece)
		}
	}))
	defer service.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	growth := heap.Peak(func() {
		var running sync.WaitGroup
		for range calls {
			running.Go(func() {
				_, err := client.Call(testContext(t), service.URL, upstream.PlainRequest{Method: http.MethodGet, Path: "/"})
				is.True(err != nil)
			})
		}
		running.Wait()
	})
	t.Logf("the heap grew by %d MB", growth>>20)
	is.True(growth < maxGrowth)
}
