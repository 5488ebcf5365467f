package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/plain"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

func newClient(t testing.TB, opts upstream.Options) *upstream.Client {
	opts.Credential = "instance"
	c := upstream.New(opts)
	t.Cleanup(c.Close)
	return c
}

func post(body string) upstream.PlainRequest {
	return upstream.PlainRequest{Method: http.MethodPost, Path: "/call", Body: []byte(body)}
}

// Guards against an error that reports a request as not sent although it may have run
// (G8: a refusal states truthfully whether the request ran), and against one that
// leaves this unknown without need.
func TestSentOfFailedCalls(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	service := plain.New(plain.Options{})
	url := serve(t, service)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()

	tests := []struct {
		name   string
		ctx    context.Context
		url    string
		faults plain.Faults
		path   string
		kind   upstream.Kind
		sent   bool
	}{
		{"no listener", testContext(t), "http://" + closed.Addr().String(), plain.Faults{}, "/call", upstream.ConnectFailed, false},
		{"canceled before", canceled, url, plain.Faults{}, "/call", upstream.Canceled, false},
		{"other host in path", testContext(t), url, plain.Faults{}, "//other/call", upstream.Refused, false},
		{"dot segments", testContext(t), url, plain.Faults{}, "/call/%2e%2e/lab/faults", upstream.Refused, false},
		{"key in query", testContext(t), url, plain.Faults{}, "/call?k=rsk_a.k%5Fs", upstream.Refused, false},
		{"answer lost", testContext(t), url, plain.Faults{LoseResponses: true}, "/call", upstream.Crashed, true},
		{"slow", testContext(t), url, plain.Faults{SlowMS: 3000}, "/call", upstream.Stalled, true},
		{"refused", testContext(t), url, plain.Faults{Refuse: true}, "/call", upstream.Refused, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newClient(t, upstream.Options{PlainProgressTimeout: progressTimeout})
			service.SetFaults(test.faults)
			q := post("body")
			q.Path = test.path
			_, err := c.Call(test.ctx, test.url, q)
			wantError(t, err, test.kind, test.sent)
		})
	}
}

// Guards against Sent being determined while net/http is still about to write:
// requests are canceled at random times, and none of those with Sent false may ever
// arrive.
func TestCallsReportedAsNotSentNeverArrive(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	arrived := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrived[r.Header.Get("X-Request-Id")] = true
		mu.Unlock()
		// The body is read, because only then the server waits for the next request.
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer s.Close()
	c := newClient(t, upstream.Options{})
	var unsent []string
	for i := range 1500 {
		id := fmt.Sprint(i)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(rand.N(150*time.Microsecond), cancel)
		q := post(strings.Repeat("x", 100))
		q.Header = http.Header{"X-Request-Id": {id}}
		_, err := c.Call(ctx, s.URL, q)
		var failure *upstream.Error
		if errors.As(err, &failure) && !failure.Sent {
			unsent = append(unsent, id)
		}
		cancel()
	}
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	is.True(len(unsent) > 0)
	for _, id := range unsent {
		if arrived[id] {
			t.Fatalf("request %s arrived although Sent was false", id)
		}
	}
}

// Guards against a write that blocks forever because the Upstream does not read.
func TestUpstreamThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	c := newClient(t, upstream.Options{WriteTimeout: progressTimeout, PlainProgressTimeout: 15 * time.Second})
	begin := time.Now()
	_, err = c.Call(testContext(t), "http://"+listener.Addr().String(), post(strings.Repeat("x", 32<<20)))
	wantError(t, err, upstream.Stalled, true)
	is.True(time.Since(begin) < 10*time.Second)
}

// Guards against net/http retrying a request on its own (G9), so that it may run
// twice. It does so on a reused connection when an Idempotency-Key header is set or
// the method is GET.
func TestNetHTTPDoesNotRepeatCalls(t *testing.T) {
	tests := []upstream.PlainRequest{
		post(""), post("order 1"), {Method: http.MethodPost, Path: "/call"}, {Method: http.MethodGet, Path: "/lookup/x"},
	}
	for _, q := range tests {
		t.Run(q.Method+" "+string(q.Body), func(t *testing.T) {
			is := is.New(t)
			service := plain.New(plain.Options{})
			url := serve(t, service)
			c := newClient(t, upstream.Options{})
			_, err := c.Call(testContext(t), url, post("warm up"))
			is.NoErr(err)
			service.SetFaults(plain.Faults{LoseResponses: true})
			q.Header = http.Header{"Idempotency-Key": {"k"}}
			_, err = c.Call(testContext(t), url, q)
			wantError(t, err, upstream.Crashed, true)
			is.Equal(len(service.Executions()), 2) // the warm-up and the request
		})
	}
}

// Guards against an Upstream that receives a caller's key (G4), in any spelling of any
// header, and against one that doesn't receive the Instance's credential.
func TestCallerHeadersAreNeverForwarded(t *testing.T) {
	service := plain.New(plain.Options{})
	url := serve(t, service)
	c := newClient(t, upstream.Options{})
	names := []string{
		"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie", "X-Auth-Token",
		"X-Forwarded-Authorization", "Content-Type", "X-Request-Id", "Accept", "Connection", "Te", "User-Agent",
	}
	var calls int
	rapid.Check(t, func(t *rapid.T) {
		header := make(http.Header)
		for range rapid.IntRange(1, 6).Draw(t, "headers") {
			name := drawSpelling(t, rapid.SampledFrom(names).Draw(t, "name"))
			value := rapid.SampledFrom([]string{"Bearer rsk_acme.k1_s3cret", "rsk_acme.k1_s3cret", "RSK_acme.k1_s3cret", "s3cret"}).Draw(t, "value")
			if strings.Contains("Content-Type X-Request-Id Accept", http.CanonicalHeaderKey(name)) {
				value = rapid.SampledFrom([]string{"rsk_acme.k1_s3cret", "a RSK_acme.k1_s3cret"}).Draw(t, "key")
			}
			header[name] = append(header[name], value)
		}
		q := post("x")
		q.Header = header
		if _, err := c.Call(context.Background(), url, q); err != nil {
			t.Fatal(err)
		}
		calls++
		seen := service.Executions()[calls-1].Header
		for name, values := range seen {
			if strings.Contains(strings.ToLower(strings.Join(values, " ")), "s3cret") {
				t.Fatalf("upstream got %s: %q", name, values)
			}
		}
		if got := seen["Authorization"]; len(got) != 1 || got[0] != "Bearer instance" {
			t.Fatalf("upstream got credential %q", got)
		}
	})
}

// drawSpelling returns the name in its canonical form or in any other case.
func drawSpelling(t *rapid.T, name string) string {
	if rapid.Bool().Draw(t, "canonical") {
		return name
	}
	letters := []byte(name)
	for i := range letters {
		if letters[i] != '-' && rapid.Bool().Draw(t, "other case") {
			letters[i] ^= 0x20
		}
	}
	return string(letters)
}

// Guards against an unbounded number of connections to one Upstream, and against the
// wait for a free connection being reported as a stalled Upstream.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	open, most := 0, 0
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		open++
		most = max(most, open)
		mu.Unlock()
		for {
			select {
			case <-release:
				return
			case <-time.After(progressTimeout / 8):
				w.WriteHeader(http.StatusProcessing) // progress
			}
		}
	}))
	defer s.Close()
	c := newClient(t, upstream.Options{ConnsPerHost: 2, PlainProgressTimeout: progressTimeout})
	results := make(chan error, 6)
	for range 6 {
		go func() {
			_, err := c.Call(testContext(t), s.URL, post("x"))
			results <- err
		}()
	}
	for range 4 {
		wantError(t, <-results, upstream.ConnectFailed, false)
	}
	close(release)
	is.NoErr(<-results)
	is.NoErr(<-results)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(most, 2)
}
