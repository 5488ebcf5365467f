package site

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// promoteVersion promotes a configuration with a model version as desired state and
// waits until every engine serves it.
func promoteVersion(ctx context.Context, t *testing.T, s *Site, version string) {
	t.Helper()
	upstreams := s.Document.Services[0].Upstreams
	for i := range upstreams {
		upstreams[i].ChecksFencing = true
		upstreams[i].DesiredState = &config.DesiredState{Model: Model, Version: version}
	}
	if err := s.Promote(ctx); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for _, e := range append(append([]*engine.Server(nil), s.Prefill...), s.Decode...) {
		for e.EngineState().Version != version {
			if ctx.Err() != nil {
				t.Fatalf("an engine still serves %+v after %d orders", e.EngineState(), len(e.Orders()))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Logf("version %s in %v", version, time.Since(start).Round(10*time.Millisecond))
}

// waitForLeaseHolder returns the Instance whose status shows the lease of the service
// and no engine out of sync.
func waitForLeaseHolder(ctx context.Context, t *testing.T, s *Site) *Instance {
	t.Helper()
	for ctx.Err() == nil {
		for _, instance := range s.Instances {
			status, err := instance.Status(ctx)
			if err == nil && len(status.Orders) == 1 && status.Orders[0].Fence != 0 && len(status.Orders[0].OutOfSync) == 0 {
				return instance
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no status shows a holder without differing engines")
	return nil
}

// Guards against orders that are lost between the document, the daemon and the engines'
// HTTP interface, and against requests that fail after engines have changed their model
// version.
func TestOrdersOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	s, err := Start(ctx, Options{Instances: 2, Engine: engine.Options{
		InitialState: upstream.EngineState{Model: Model, Version: "1"}, LoadTime: 200 * time.Millisecond, CheckFencing: true,
	}})
	is.NoErr(err)
	defer s.Close()
	promoteVersion(ctx, t, s, "2")
	first := waitForLeaseHolder(ctx, t, s)
	is.Equal(s.Decode[0].EngineState(), upstream.EngineState{Model: Model, Version: "2", Role: "decode"})
	fencingToken := s.Decode[0].Orders()[0].Fence
	is.True(fencingToken > 0)
	body, err := json.Marshal(map[string]any{"model": Model, "prompt": Prompt("menu", 100), "max_tokens": 8})
	is.NoErr(err)
	_, err = postUntilAccepted(ctx, "http://"+first.CallerAddr+"/v1/completions", s.Large.Key, body)
	is.NoErr(err)
	response, err := http.Get("http://" + first.StatusAddr + "/timeline?upstream=decode-1")
	is.NoErr(err)
	defer response.Body.Close()
	events, err := io.ReadAll(response.Body)
	is.NoErr(err)
	for _, kind := range []string{"sent", "accepted", "done"} {
		is.True(strings.Contains(string(events), `"`+kind+`"`)) // event of the order in the engine's timeline
	}

	is.NoErr(first.Shutdown())
	promoteVersion(ctx, t, s, "3")
	orders := s.Decode[0].Orders()
	is.True(orders[len(orders)-1].Fence > fencingToken) // from the next lease holder
}
