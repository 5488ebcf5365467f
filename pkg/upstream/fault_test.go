package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// progressTimeout is the progress timeout of the tests. It is far above the scheduling
// delays of a busy machine.
const progressTimeout = 600 * time.Millisecond

type server interface {
	Serve(net.Listener) error
	Close() error
}

// serve runs a fake Upstream on loopback and returns its base URL.
func serve(t testing.TB, s server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return "http://" + l.Addr().String()
}

// enginePair is a prefill engine and a decode engine with a client.
type enginePair struct {
	client                *upstream.Client
	prefill, decode       *engine.Server
	prefillURL, decodeURL string
}

func newEnginePair(t testing.TB, opts engine.Options) *enginePair {
	if opts.KVTTL == 0 {
		opts.KVTTL = 10 * time.Second
	}
	opts.Role = engine.Prefill
	p := &enginePair{prefill: engine.New(opts)}
	opts.Role = engine.Decode
	p.decode = engine.New(opts)
	p.prefillURL, p.decodeURL = serve(t, p.prefill), serve(t, p.decode)
	p.client = upstream.New(upstream.Options{Credential: "instance", ProgressTimeout: progressTimeout, PlainProgressTimeout: progressTimeout})
	t.Cleanup(p.client.Close)
	return p
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// start prefills a prompt and starts decoding.
func (p *enginePair) start(ctx context.Context, attempt, prompt, emitted string, offset, tokens int) (upstream.TokenStream, error) {
	reply, err := p.client.Prefill(ctx, p.prefillURL, upstream.PrefillRequest{Attempt: attempt, Model: "m", Prompt: prompt, Emitted: emitted})
	if err != nil {
		return nil, err
	}
	return p.client.Decode(ctx, p.decodeURL, upstream.DecodeRequest{
		Attempt: attempt, Source: p.prefillURL, KV: reply.KV, MaxTokens: tokens, Offset: offset,
	})
}

// read returns the text of up to n tokens.
func read(s upstream.TokenStream, n int) (string, error) {
	var text strings.Builder
	for range n {
		token, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(token.Text)
	}
	return text.String(), nil
}

func wantError(t testing.TB, err error, kind upstream.Kind, sent bool) {
	t.Helper()
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
	if failure.Kind != kind || failure.Sent != sent {
		t.Fatalf("got kind %s, sent %v (%v); want kind %s, sent %v", failure.Kind, failure.Sent, err, kind, sent)
	}
}

// Guards against a response that differs when another attempt continues it.
func TestContinuationGivesTheSameResponse(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{PerOutputToken: time.Millisecond})
	complete := engine.Output("tell me", 12)

	s, err := p.start(ctx, "a.1.1", "tell me", "", 0, 12)
	is.NoErr(err)
	begin, err := read(s, 5)
	is.NoErr(err)
	s.Close()

	s, err = p.start(ctx, "a.1.2", "tell me", begin, 5, 12)
	is.NoErr(err)
	rest, err := read(s, 100)
	is.True(errors.Is(err, io.EOF))
	is.Equal(begin+rest, complete)
}

// Guards against a stream that hangs because its engine becomes unresponsive midway.
func TestUnresponsiveStreamIsStalled(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, engine.Options{PerOutputToken: 10 * time.Millisecond})
	s, err := p.start(testContext(t), "a", "x", "", 0, 1000)
	is.NoErr(err)
	_, err = read(s, 3)
	is.NoErr(err)
	p.decode.SetFaults(engine.Faults{Silent: true})
	_, err = read(s, 1000)
	wantError(t, err, upstream.Stalled, true)
}

// Guards against a partial response that looks complete after a crash.
func TestCrashMidStream(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{PerOutputToken: 10 * time.Millisecond})
	s, err := p.start(ctx, "a", "x", "", 0, 1000)
	is.NoErr(err)
	_, err = read(s, 3)
	is.NoErr(err)
	p.decode.Crash()
	_, err = read(s, 1000)
	wantError(t, err, upstream.Crashed, true)
	is.Equal(len(p.decode.RunningAttempts()), 0)
	is.Equal(p.decode.Generation(), uint64(2))
	report, err := p.client.Load(ctx, p.decodeURL)
	is.NoErr(err)
	is.Equal(report.Generation, uint64(2))
}

// Guards against the crash of an engine that is not reported for the request that
// caused it.
func TestCrashingPrompt(t *testing.T) {
	p := newEnginePair(t, engine.Options{})
	_, err := p.start(testContext(t), "a", "x "+engine.DefaultCrashMarker, "", 0, 5)
	wantError(t, err, upstream.Crashed, true)
}

// Guards against a stalled transfer that goes undetected because the TCP connection is
// alive, and against engine memory that stays allocated after the request has ended
// (G1).
func TestStalledTransfer(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{})
	p.decode.SetFaults(engine.Faults{StallTransfers: true})
	s, err := p.start(ctx, "a", "x", "", 0, 5)
	is.NoErr(err)
	_, err = s.Next()
	wantError(t, err, upstream.Stalled, true)
	is.Equal(p.decode.RunningAttempts(), []string{"a"}) // the engine keeps the memory
	is.NoErr(p.client.Cancel(ctx, p.decodeURL, "a"))
	is.Equal(len(p.decode.RunningAttempts()), 0)
}

// Guards against a slow transfer or a long prefill being taken for a stalled one.
func TestSlowProgressIsNotStalled(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, engine.Options{
		PerPromptToken: 2 * progressTimeout / 100, KVBytesPerToken: 1, LinkBytesPerSecond: 100, PerOutputToken: time.Millisecond,
	})
	s, err := p.start(testContext(t), "a", strings.Repeat("four", 100), "", 0, 2)
	is.NoErr(err)
	_, err = read(s, 2)
	is.NoErr(err)
}

// Guards against a slow engine being taken for a stalled one.
func TestSlowEngineIsNotStalled(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, engine.Options{PerPromptToken: time.Millisecond, KVBytesPerToken: 1, LinkBytesPerSecond: 1000})
	p.prefill.SetFaults(engine.Faults{Slow: 20})
	p.decode.SetFaults(engine.Faults{Slow: 20})
	s, err := p.start(testContext(t), "a", strings.Repeat("four", 50), "", 0, 1)
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
}

// Guards against a canceled prefill that keeps its engine busy, and against the cancel
// of a queued prefill that frees the engine while another prefill runs.
func TestCancelOfPrefill(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{PerPromptToken: time.Hour})
	results := make(chan error, 3)
	start := func(attempt string, used, queued int) {
		go func() {
			_, err := p.start(ctx, attempt, "x", "", 0, 1)
			results <- err
		}()
		for {
			report, err := p.client.Load(ctx, p.prefillURL)
			is.NoErr(err)
			if report.Used == used && report.Queued == queued {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	start("a", 1, 0)
	start("b", 1, 1)
	start("c", 1, 2)
	is.NoErr(p.client.Cancel(ctx, p.prefillURL, "b"))
	wantError(t, <-results, upstream.Canceled, true)
	is.Equal(p.prefill.RunningAttempts(), []string{"a"})
	is.NoErr(p.client.Cancel(ctx, p.prefillURL, "a"))
	wantError(t, <-results, upstream.Canceled, true)
	is.Equal(p.prefill.RunningAttempts(), []string{"c"})
	is.NoErr(p.client.Cancel(ctx, p.prefillURL, "c"))
}

// Guards against a full engine being treated as failed.
func TestFullEngine(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{Slots: 1})
	_, err := p.start(ctx, "a", "x", "", 0, 1000)
	is.NoErr(err)
	_, err = p.start(ctx, "b", "x", "", 0, 1000)
	wantError(t, err, upstream.Full, true)
	p.decode.SetFaults(engine.Faults{Refuse: true})
	_, err = p.start(ctx, "c", "x", "", 0, 1000)
	wantError(t, err, upstream.Refused, true)
}

// Guards against decoding from a KV cache that the prefill engine no longer keeps.
func TestKVGone(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{KVTTL: 20 * time.Millisecond})
	reply, err := p.client.Prefill(ctx, p.prefillURL, upstream.PrefillRequest{Attempt: "a", Prompt: "x"})
	is.NoErr(err)
	time.Sleep(40 * time.Millisecond)
	_, err = p.client.Decode(ctx, p.decodeURL, upstream.DecodeRequest{Attempt: "a", Source: p.prefillURL, KV: reply.KV, MaxTokens: 5})
	wantError(t, err, upstream.KVGone, true)
}

// Guards against a canceled attempt that keeps its memory or looks complete.
func TestCancel(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{PerOutputToken: 10 * time.Millisecond})
	s, err := p.start(ctx, "i-1.3.7", "x", "", 0, 1000)
	is.NoErr(err)
	_, err = read(s, 2)
	is.NoErr(err)
	is.NoErr(p.client.Cancel(ctx, p.decodeURL, "i-1.3.7"))
	_, err = read(s, 1000)
	wantError(t, err, upstream.Canceled, true)
	running, err := p.client.Attempts(ctx, p.decodeURL)
	is.NoErr(err)
	is.Equal(len(running), 0)
	is.NoErr(p.client.Cancel(ctx, p.decodeURL, "never seen")) // an unknown attempt is not an error
}

// Guards against an attempt that ends when its consumer disconnects, and against two
// consumers of one attempt (G2).
func TestResumeDisconnectsTheEarlierConsumer(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	p := newEnginePair(t, engine.Options{PerOutputToken: 10 * time.Millisecond})
	first, err := p.start(ctx, "a", "x", "", 0, 30)
	is.NoErr(err)
	begin, err := read(first, 4)
	is.NoErr(err)
	second, err := p.client.Resume(ctx, p.decodeURL, "a", 4, 0)
	is.NoErr(err)
	is.Equal(second.Generation(), uint64(2))
	_, err = read(first, 1000)
	wantError(t, err, upstream.Canceled, true)
	_, err = p.client.Resume(ctx, p.decodeURL, "a", 4, 2)
	wantError(t, err, upstream.Refused, true) // not above the generation of the current consumer
	second.Close()
	third, err := p.client.Resume(ctx, p.decodeURL, "a", 4, 9)
	is.NoErr(err)
	rest, err := read(third, 1000)
	is.True(errors.Is(err, io.EOF))
	is.Equal(begin+rest, engine.Output("x", 30))
}
