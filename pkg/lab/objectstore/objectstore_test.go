package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

func serve(t *testing.T, opts Options) (*Server, *httptest.Server) {
	s := New(opts)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server
}

func client(server *httptest.Server) platform.Client {
	return platform.NewHTTP(server.URL, platform.Options{
		CallTimeout: 300 * time.Millisecond, WatchWait: 100 * time.Millisecond, MaxPending: 4,
	})
}

// Guards against an HTTP client that behaves differently from the in-memory client, with
// which the other packages are tested.
func TestClientContract(t *testing.T) {
	_, server := serve(t, Options{})
	memory := platform.NewMemoryStore()
	memory.WatchWait = 100 * time.Millisecond
	for name, c := range map[string]platform.Client{"http": client(server), "memory": memory} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := t.Context()
			_, err := c.Get(ctx, "a/b")
			is.True(errors.Is(err, platform.ErrNotFound))
			first, err := c.Put(ctx, "a/b", []byte("one"), 0)
			is.NoErr(err)
			_, err = c.Put(ctx, "a/b", []byte("two"), 0)
			is.True(errors.Is(err, platform.ConflictError{Current: first}))
			second, err := c.Put(ctx, "a/b", []byte("two"), first)
			is.NoErr(err)
			is.True(second > first)
			is.True(errors.Is(c.Delete(ctx, "a/b", first), platform.ConflictError{Current: second}))
			got, err := c.Get(ctx, "a/b")
			is.NoErr(err)
			is.Equal(got, platform.Object{Name: "a/b", Version: second, Value: []byte("two")})
			infos, err := c.List(ctx, "a/")
			is.NoErr(err)
			is.Equal(infos, []platform.ObjectInfo{{Name: "a/b", Version: second, Size: 3}})
			_, err = c.Watch(ctx, "a/b", second)
			is.True(errors.Is(err, platform.ErrNotModified))
			got, err = c.Watch(ctx, "a/b", first)
			is.NoErr(err)
			is.Equal(got.Version, second)
			is.NoErr(c.Delete(ctx, "a/b", second))
			_, err = c.Watch(ctx, "a/b", second)
			is.True(errors.Is(err, platform.ErrNotFound))
			third, err := c.Put(ctx, "a/b", nil, 0)
			is.NoErr(err)
			is.True(third > second) // versions are not reused after a delete
			_, err = c.Put(ctx, "a/c", make([]byte, platform.MaxValueBytes+1), 0)
			is.True(errors.Is(err, platform.ErrTooLarge))
			_, err = c.Put(ctx, "a/../c", nil, 0)
			is.True(errors.Is(err, platform.ErrInvalid))
		})
	}
}

// Guards against a lost response or an unresponsive platform that is reported as a write
// without effect, and against an outage that is reported as an unknown outcome.
func TestFailureKinds(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	for _, test := range []struct {
		name   string
		faults Faults
		put    error
		get    error
		stored bool
	}{
		{"outage", Faults{Outage: true}, platform.ErrUnavailable, platform.ErrUnavailable, false},
		{"lost answer", Faults{LostResponseRate: 1}, platform.ErrOutcomeUnknown, nil, true},
		{"silent", Faults{Silent: true}, platform.ErrOutcomeUnknown, platform.ErrUnavailable, false},
		{"slow", Faults{LatencyMS: 1000}, platform.ErrOutcomeUnknown, platform.ErrUnavailable, false},
		{"no listener", Faults{}, platform.ErrUnavailable, platform.ErrUnavailable, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, server := serve(t, Options{})
			s.SetFaults(test.faults)
			c := client(server)
			if test.name == "no listener" {
				c = client(closed)
			}
			start := time.Now()
			_, err := c.Put(t.Context(), "x", []byte("v"), 0)
			is.True(errors.Is(err, test.put))
			_, err = c.Get(t.Context(), "x")
			is.True(errors.Is(err, test.get))
			is.True(time.Since(start) < time.Second)
			_, err = s.Store().Get(t.Context(), "x")
			is.Equal(err == nil, test.stored)
		})
	}
}

// Guards against a change that is never noticed because the watch gets no response.
func TestFollowResyncsWhenWatchIsUnresponsive(t *testing.T) {
	is := is.New(t)
	s, server := serve(t, Options{})
	s.SetFaults(Faults{SilentWatch: true})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	seen := make(chan uint64, 10)
	opts := platform.FollowOptions{ResyncInterval: 50 * time.Millisecond}
	go platform.Follow(ctx, client(server), "x", opts, func(o platform.Object) { seen <- o.Version }, nil)
	for expected := uint64(0); expected < 3; expected++ {
		version, err := s.Store().Put(ctx, "x", nil, expected)
		is.NoErr(err)
		select {
		case got := <-seen:
			is.Equal(got, version)
		case <-ctx.Done():
			t.Fatal("the change was not seen")
		}
	}
}

// Guards against stale reads that Follow reports as new versions.
func TestFollowIgnoresStaleReads(t *testing.T) {
	is := is.New(t)
	s, server := serve(t, Options{Seed: 1})
	s.SetFaults(Faults{StaleReadRate: 0.5})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	c := client(server)
	go func() {
		for expected := uint64(0); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			if version, err := c.Put(ctx, "x", nil, expected); err == nil {
				expected = version
			}
		}
	}()
	last := uint64(0)
	opts := platform.FollowOptions{ResyncInterval: 2 * time.Millisecond}
	platform.Follow(ctx, c, "x", opts, func(o platform.Object) {
		is.True(o.Version > last)
		last = o.Version
	}, nil)
	is.True(last > 5)
	is.True(s.Counters().StaleReads > 0)
}

// Guards against an unbounded number of pending calls to an unresponsive platform.
func TestPendingCallsAreBounded(t *testing.T) {
	is := is.New(t)
	s, server := serve(t, Options{})
	s.SetFaults(Faults{Silent: true})
	c := platform.NewHTTP(server.URL, platform.Options{CallTimeout: 10 * time.Second, MaxPending: 4})
	for range 4 {
		go func() { _, _ = c.Put(t.Context(), "x", nil, 0) }()
	}
	for s.Counters().Writes < 4 {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Put(t.Context(), "x", nil, 0)
	is.True(errors.Is(err, platform.ErrUnavailable)) // the fifth call is not sent
	is.Equal(s.Counters().Writes, int64(4))
}

// Guards against a fake whose rate limits or list lag differ from its options.
func TestLimitsAndLag(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s, server := serve(t, Options{WritesPerSecond: 20, InstanceLag: time.Second, Now: func() time.Time { return now }})
	c := client(server)
	for i := range 3 {
		_, err := c.Put(t.Context(), "x", nil, uint64(i))
		is.Equal(err == nil, i < 2) // the burst is a tenth of a second: two writes
	}
	is.Equal(s.Counters().RateLimited, int64(1))
	now = now.Add(time.Second)
	registrar := platform.NewRegistrar(server.URL, platform.Options{})
	instance := platform.Instance{ID: "entry-1", State: platform.InstanceLive}
	is.NoErr(registrar.PutInstance(t.Context(), instance))
	list, err := c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0)
	now = now.Add(time.Second)
	list, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(list, []platform.Instance{instance})
}

// Guards against fault settings that are silently ignored because a field is misspelt.
func TestLabEndpoints(t *testing.T) {
	is := is.New(t)
	s, server := serve(t, Options{})
	for body, status := range map[string]int{`{"outage":true}`: 200, `{"outtage":true}`: 400} {
		response, err := http.Post(server.URL+"/lab/faults", "application/json", bytes.NewBufferString(body))
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, status)
	}
	is.True(s.Faults().Outage)
	_, err := client(server).Get(t.Context(), "x")
	is.True(errors.Is(err, platform.ErrUnavailable))
	response, err := http.Get(server.URL + "/lab/counters")
	is.NoErr(err)
	defer response.Body.Close()
	var counters Counters
	is.NoErr(json.NewDecoder(response.Body).Decode(&counters))
	is.Equal(counters, Counters{Reads: 1, Refused: 1})
}
