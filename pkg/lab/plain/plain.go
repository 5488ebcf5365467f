// Package plain is a small fake of a plain service, a non-LLM HTTP service, for tests.
// GET requests are idempotent. POST requests are not, and are counted by body.
package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/faultnet"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// Options are the settings of a service. Zero values select the defaults.
type Options struct {
	// Work is the processing time of one request. Default 1 ms.
	Work time.Duration
	// Slots is the capacity in the load report; the service doesn't enforce it.
	// Default 32.
	Slots int
	// Downtime is the time after a crash in which the service aborts all requests.
	Downtime time.Duration
}

// Faults are the faults that POST /lab/faults sets. An omitted field disables its
// fault. Crash and Silent take effect once for each POST.
type Faults struct {
	// LoseResponses closes the connection after the effect, without a response.
	LoseResponses bool `json:"lose_answers,omitempty"`
	// SlowMS is added to the time of each request, in milliseconds.
	SlowMS int `json:"slow_ms,omitempty"`
	// Refuse responds to all requests with status 503, without an effect.
	Refuse bool `json:"refuse,omitempty"`
	// Silent makes the currently open connections unresponsive permanently.
	Silent bool `json:"silent,omitempty"`
	// Crash closes all connections. The counts stay, like effects that a service has
	// stored in a database.
	Crash bool `json:"crash,omitempty"`
}

// Execution is one request that took effect.
type Execution struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

const (
	maxBodyBytes  = 1 << 20
	maxExecutions = 10_000
)

// Server is a fake plain service.
type Server struct {
	opts        Options
	mux         *http.ServeMux
	faultServer *faultnet.Server

	mu         sync.Mutex
	faults     Faults
	crashed    chan struct{}
	downUntil  time.Time
	executions []Execution
	counts     map[string]int
	running    int
}

// New returns a service. GET /lookup/{name} and /public/{name} are idempotent, POST
// /call is not.
func New(opts Options) *Server {
	if opts.Work <= 0 {
		opts.Work = time.Millisecond
	}
	if opts.Slots <= 0 {
		opts.Slots = 32
	}
	s := &Server{opts: opts, mux: http.NewServeMux(), crashed: make(chan struct{}), counts: make(map[string]int)}
	s.faultServer = faultnet.NewServer(s)
	s.mux.HandleFunc("GET /lookup/{name...}", s.handleRequest)
	s.mux.HandleFunc("GET /public/{name...}", s.handleRequest)
	s.mux.HandleFunc("POST /call", s.handleRequest)
	s.mux.HandleFunc("POST /call/{rest...}", s.handleRequest)
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("POST /lab/faults", s.serveFaults)
	s.mux.HandleFunc("GET /lab/executions", s.serveExecutions)
	return s
}

// Serve accepts connections until Close. The silent and crash faults affect idle
// connections only if the service is served by this method.
func (s *Server) Serve(l net.Listener) error { return s.faultServer.Serve(l) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.faultServer.Close() }

// ServeHTTP implements http.Handler, for the service and the controls under /lab.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.setFaults(context.Background(), f) }

// setFaults replaces the faults. The connection of the request that ctx belongs to is
// exempt from Silent and Crash, so that the request gets its response.
func (s *Server) setFaults(ctx context.Context, f Faults) {
	crash, silent := f.Crash, f.Silent
	f.Crash, f.Silent = false, false
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if silent {
		s.faultServer.Silence(ctx)
	}
	if crash {
		s.crash(ctx)
	}
}

// Crash aborts all running requests, closes all connections and starts the downtime.
func (s *Server) Crash() { s.crash(context.Background()) }

func (s *Server) crash(ctx context.Context) {
	s.mu.Lock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.downUntil = time.Now().Add(s.opts.Downtime)
	s.mu.Unlock()
	s.faultServer.CloseConns(ctx)
}

// Count returns how often POST requests with the given body took effect.
func (s *Server) Count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[body]
}

// Executions returns a copy of the log of requests that took effect, at most the first
// 10,000.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.running++
	faults, crashed := s.faults, s.crashed
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	defer s.finishRequest()
	if down {
		panic(http.ErrAbortHandler)
	}
	if faults.Refuse {
		http.Error(w, `{"error":{"code":"refused"}}`, http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(s.opts.Work + time.Duration(faults.SlowMS)*time.Millisecond):
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	count := s.recordExecution(r, body)
	if faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, r, body, count)
}

func (s *Server) finishRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// serveLoad returns the current load in the format of the engines' load reports.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	used := s.running
	s.mu.Unlock()
	writeJSON(w, upstream.LoadReport{Slots: s.opts.Slots, Used: used, AsOfMS: time.Now().UnixMilli(), Generation: 1})
}

// recordExecution logs and counts a request that takes effect. It returns the count for
// the body.
func (s *Server) recordExecution(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executions) < maxExecutions {
		s.executions = append(s.executions, Execution{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: string(body)})
	}
	if r.Method == http.MethodPost {
		s.counts[string(body)]++
	}
	return s.counts[string(body)]
}

func writeResponse(w http.ResponseWriter, r *http.Request, body []byte, count int) {
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodPost {
		writeJSON(w, map[string]any{"count": count, "body": string(body)})
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/lookup/")
	writeJSON(w, map[string]any{"name": name, "value": fmt.Sprintf("value of %s", strconv.Quote(name))})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The error of a disconnected caller is ignored.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.setFaults(r.Context(), faults)
	writeJSON(w, faults)
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}
