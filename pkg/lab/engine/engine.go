// Package engine is a small fake of a model engine for tests and trials. Server has
// the prefill or the decode role, serves the protocol of package upstream and accepts
// injected faults.
package engine

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/httphead"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/faultnet"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// Role is the stage that an engine serves.
type Role string

// The roles of an engine.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// Clock supplies time. It lets a test run faster than real time.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives after d on this clock.
	After(d time.Duration) <-chan time.Time
}

// ScaledClock is a clock that runs Factor times as fast as real time.
type ScaledClock struct {
	Start  time.Time
	Factor float64
}

// Now returns the scaled time.
func (c ScaledClock) Now() time.Time {
	return c.Start.Add(time.Duration(float64(time.Since(c.Start)) * c.Factor))
}

// After returns a channel that receives after d of scaled time.
func (c ScaledClock) After(d time.Duration) <-chan time.Time {
	return time.After(time.Duration(float64(d) / c.Factor))
}

// Options are the settings of an engine. Zero values select the defaults.
type Options struct {
	Role  Role
	Clock Clock
	// PerPromptToken is the prefill time per token that is not cached. Default 50 µs.
	PerPromptToken time.Duration
	// PerOutputToken is the time of one batch step, which generates one token for
	// every running attempt. Default 20 ms.
	PerOutputToken time.Duration
	// PerBatchMember is added to a step for each running attempt. Default 200 µs.
	PerBatchMember time.Duration
	// Slots limits the running attempts. Default 20.
	Slots int
	// Blocks is the memory in blocks of core.BlockTokens tokens. Default 80.
	Blocks int
	// QueueLimit limits the queued requests: for the processor in the prefill role
	// (default 64), for a slot in the decode role (default 0: refuse as full).
	QueueLimit int
	// KVTTL is the TTL of a prefill result. Default 800 ms.
	KVTTL time.Duration
	// KVBytesPerToken is the size of the KV cache of one token. Default 2 KiB, far
	// less than real models need, so that transfers in trials are short.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the bandwidth that all KV transfers to one engine share.
	// Default 1 GB/s.
	LinkBytesPerSecond int64
	// CacheBlocks is the size of the prefix cache in blocks. Default 64.
	CacheBlocks int
	// EventLag is the delay of cache events. Default 300 ms.
	EventLag time.Duration
	// EventLossInterval is n if every n-th cache event is lost. Default 10; -1 loses none.
	EventLossInterval int
	// ReportLag is the age of load reports. Default 200 ms.
	ReportLag time.Duration
	// FinishedTTL is the time for which a finished attempt can be resumed.
	// Default 5 s.
	FinishedTTL time.Duration
	// CheckFencing refuses orders with a fencing token below the highest received.
	CheckFencing bool
	// InitialState is the initial model, adapter and version. An engine without a model
	// serves every model until an order takes effect.
	InitialState upstream.EngineState
	// LoadTime is the time until an order for other weights takes effect. Default 1 s.
	LoadTime time.Duration
	// RoleChangeDelay is the time until an order that changes only the role takes effect.
	// Default 100 ms.
	RoleChangeDelay time.Duration
	// CrashMarker is the prompt text that crashes the engine. Default
	// DefaultCrashMarker.
	CrashMarker string
	// Downtime is the time for which the engine aborts all requests after a crash.
	// Default 0.
	Downtime time.Duration
	// Generation is the initial generation. Default 1.
	Generation uint64
}

// DefaultCrashMarker is the prompt text that crashes an engine.
const DefaultCrashMarker = "[[crash-engine]]"

func (o Options) withDefaults() Options {
	setDefault(&o.Role, Decode)
	setDefault(&o.PerPromptToken, 50*time.Microsecond)
	setDefault(&o.PerOutputToken, 20*time.Millisecond)
	setDefault(&o.PerBatchMember, 200*time.Microsecond)
	setDefault(&o.Slots, 20)
	setDefault(&o.Blocks, 80)
	if o.Role == Prefill {
		setDefault(&o.QueueLimit, 64)
	}
	setDefault(&o.KVTTL, 800*time.Millisecond)
	setDefault(&o.KVBytesPerToken, 2<<10)
	setDefault(&o.LinkBytesPerSecond, 1_000_000_000)
	setDefault(&o.CacheBlocks, 64)
	setDefault(&o.EventLag, 300*time.Millisecond)
	setDefault(&o.EventLossInterval, 10)
	setDefault(&o.ReportLag, 200*time.Millisecond)
	setDefault(&o.FinishedTTL, 5*time.Second)
	setDefault(&o.LoadTime, time.Second)
	setDefault(&o.RoleChangeDelay, 100*time.Millisecond)
	o.InitialState.Role = string(o.Role)
	setDefault(&o.CrashMarker, DefaultCrashMarker)
	setDefault(&o.Generation, 1)
	if o.Clock == nil {
		o.Clock = ScaledClock{Start: time.Now(), Factor: 1}
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the faults that POST /lab/faults sets. A field that is omitted is switched
// off; Crash and Silent take effect once per request.
type Faults struct {
	// Slow multiplies all processing times if it is above 1.
	Slow float64 `json:"slow,omitempty"`
	// Refuse refuses all requests of the engine protocol with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// StallTransfers stops KV imports.
	StallTransfers bool `json:"stall_transfers,omitempty"`
	// StallDecode stops the batch without closing any connection.
	StallDecode bool `json:"stall_decode,omitempty"`
	// Silent makes the open connections silent permanently.
	Silent bool `json:"silent,omitempty"`
	// Crash closes all connections and discards all state.
	Crash bool `json:"crash,omitempty"`
}

// Execution is a request as the engine received it.
type Execution struct {
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Header  http.Header `json:"header"`
	Body    string      `json:"body"`
	Attempt string      `json:"attempt,omitempty"`
	// Status is the status of the response, 0 while the request runs or after a crash.
	Status int `json:"status"`
}

// maxExecutions limits the request log; later requests are not logged.
const maxExecutions = 10_000

// Server is a fake engine.
type Server struct {
	opts Options
	mux  *http.ServeMux
	net  *faultnet.Server
	kv   *http.Client

	mu         sync.Mutex
	faults     Faults
	downUntil  time.Time
	executions []*Execution
	fence      core.FencingToken
	orders     []upstream.OrderRequest
	state      *state
}

// New returns an engine.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{opts: opts, mux: http.NewServeMux(), kv: &http.Client{Transport: httphead.Transport(&http.Transport{})}}
	s.state = newState(s, opts.Generation)
	s.net = faultnet.NewServer(s)
	s.route("POST "+upstream.PathPrefill, s.servePrefill)
	s.route("POST "+upstream.PathDecode, s.serveDecode)
	s.route("GET "+upstream.PathAttempts, s.serveAttempts)
	s.route("POST "+upstream.PathAttempts+"/{id}/cancel", s.serveCancel)
	s.route("POST "+upstream.PathAttempts+"/{id}/resume", s.serveResume)
	s.route("GET "+upstream.PathLoad, s.serveLoad)
	s.route("GET "+upstream.PathCacheEvents, s.serveCacheEvents)
	s.route("POST "+upstream.PathOrders, s.serveOrder)
	s.route("GET "+upstream.PathKV+"/{handle}", s.serveKV)
	s.mux.HandleFunc("POST /lab/faults", s.serveFaults)
	s.mux.HandleFunc("GET /lab/executions", s.serveExecutions)
	return s
}

// Serve accepts connections until Close. The silent and crash faults affect idle
// connections only if the engine is served by this method.
func (s *Server) Serve(l net.Listener) error { return s.net.Serve(l) }

// Close ends the engine, its connections and its goroutines.
func (s *Server) Close() error {
	s.mu.Lock()
	s.state.stop()
	s.mu.Unlock()
	s.kv.CloseIdleConnections()
	return s.net.Close()
}

// ServeHTTP serves the engine protocol and the controls under /lab.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.setFaults(context.Background(), f) }

// setFaults exempts the connection of the request that ctx belongs to.
func (s *Server) setFaults(ctx context.Context, f Faults) {
	crash, silent := f.Crash, f.Silent
	f.Crash, f.Silent = false, false
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if silent {
		s.net.Silence(ctx)
	}
	if crash {
		s.crash(ctx)
	}
}

// Crash closes all connections, discards all state and increments the generation.
func (s *Server) Crash() { s.crash(context.Background()) }

func (s *Server) crash(ctx context.Context) {
	s.mu.Lock()
	s.state.stop()
	s.state = newState(s, s.state.generation+1)
	s.fence = 0
	s.downUntil = s.opts.Clock.Now().Add(s.opts.Downtime)
	s.mu.Unlock()
	s.net.CloseConns(ctx)
}

// Executions returns a copy of the request log.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Execution, len(s.executions))
	for i, e := range s.executions {
		list[i] = *e
	}
	return list
}

// RunningAttempts returns the sorted identifiers of the attempts that hold memory.
func (s *Server) RunningAttempts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.running()
}

// Generation returns the current generation.
func (s *Server) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.generation
}

// failure is an error response.
type failure struct {
	status  int
	code    string
	message string
}

func (f *failure) body() upstream.ErrorBody {
	var body upstream.ErrorBody
	body.Error.Code, body.Error.Message = f.code, f.message
	return body
}

// exchange is a request that is being handled, with its response.
type exchange struct {
	http.ResponseWriter
	request *http.Request
	body    []byte
	state   *state
	log     *Execution
}

// setAttempt records the attempt that a request belongs to.
func (e *Execution) setAttempt(s *Server, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Attempt = id
}

// route registers a handler of the engine protocol to which faults apply.
func (s *Server) route(pattern string, serve func(*exchange) *failure) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		x := s.receive(w, r)
		fail := s.checkFaults(x)
		if fail == nil {
			fail = serve(x)
		}
		status := http.StatusOK
		if fail != nil {
			status = fail.status
			s.reply(x, status, fail.body())
		}
		s.mu.Lock()
		x.log.Status = status
		s.mu.Unlock()
	})
}

// maxBody limits the body of a request.
const maxBody = 8 << 20

func (s *Server) receive(w http.ResponseWriter, r *http.Request) *exchange {
	body, err := readBody(w, r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	log := &Execution{Method: r.Method, Path: r.URL.Path, Header: r.Header.Clone(), Body: string(body), Attempt: r.PathValue("id")}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executions) < maxExecutions {
		s.executions = append(s.executions, log)
	}
	return &exchange{ResponseWriter: w, request: r, body: body, state: s.state, log: log}
}

func (s *Server) checkFaults(x *exchange) *failure {
	s.mu.Lock()
	down := s.opts.Clock.Now().Before(s.downUntil)
	refuse := s.faults.Refuse
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if refuse {
		return &failure{http.StatusServiceUnavailable, upstream.CodeRefused, "engine refuses all requests"}
	}
	return nil
}

func (s *Server) reply(x *exchange, status int, body any) {
	if x.state.stopped() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(x, status, body)
}

func (x *exchange) decode(into any) *failure {
	if err := json.Unmarshal(x.body, into); err != nil {
		return &failure{http.StatusBadRequest, upstream.CodeMalformed, err.Error()}
	}
	return nil
}

// wait sleeps for d on the engine's clock, multiplied by the slow fault. It returns
// false if ctx is done. If the engine crashes, it aborts the connection.
func (s *Server) wait(ctx context.Context, st *state, d time.Duration) bool {
	select {
	case <-s.opts.Clock.After(s.slowed(d)):
		return true
	case <-ctx.Done():
		return false
	case <-st.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) slowed(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(d) * math.Max(1, s.faults.Slow))
}

// unslowed returns the duration that the slow fault extends to d. Progress is reported
// in such steps, so that a slow engine is not mistaken for a stalled one.
func (s *Server) unslowed(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, time.Duration(float64(d)/math.Max(1, s.faults.Slow)))
}

// crashOnMarker crashes the engine if the text contains the marker.
func (s *Server) crashOnMarker(text string) {
	if strings.Contains(text, s.opts.CrashMarker) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
}
