package harness3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// EngineParams describe an engine.
type EngineParams struct {
	ID, Service, Zone string
	// Stage is that of a model engine, empty for a plain service.
	Stage string
	Slots int
	// Work is the time of a plain request.
	Work time.Duration
	// TokensPerMS is the speed of a prefill, MemoryTokens the memory of a decode engine, and Gap the time
	// between two events of a stream.
	TokensPerMS  float64
	MemoryTokens int
	Gap          time.Duration
	HandleTTL    time.Duration
	// Hangs reports whether a prefill gets no answer, nil for none.
	Hangs func() bool
	// Crashes reports whether a request crashes the engine that begins to run it.
	Crashes func(r *http.Request) bool
	// OnArrival is called for each request that reaches the engine and is not rejected as meant for
	// another one.
	OnArrival func(e *Engine, r *http.Request, at time.Time)
	// Find returns the engine at an address, from which the memory of a prompt is fetched.
	Find func(addr string) *Engine
	// OnRun is called when the engine begins to run a request.
	OnRun func(e *Engine, id string, at time.Time)
}

// Engine is an engine as the users' protocol page describes it.
type Engine struct {
	EngineParams
	Addr string

	record *Record
	server *http.Server
	born   int64

	mu          sync.Mutex
	lastID      int
	running     int
	usedTokens  int
	holds       map[string]engineHold
	handles     map[string]time.Time // handle -> end
	prefillFree time.Time            // the prefills so far are done then
	closed      bool
}

type engineHold struct {
	tokens int
	until  time.Time
}

// StartEngine starts an engine that is not registered yet.
func StartEngine(record *Record, p EngineParams) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{EngineParams: p, Addr: listener.Addr().String(), record: record, born: time.Now().UnixMilli(), holds: map[string]engineHold{}, handles: map[string]time.Time{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 4 * time.Second}
	go func() { _ = e.server.Serve(listener) }() // returns at Close
	return e, nil
}

// Close ends the engine at once.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// Entry returns the entry of the engine in the store.
func (e *Engine) Entry(state string) wire.Server {
	return wire.Server{Service: &e.Service, Address: &e.Addr, Zone: &e.Zone, Slots: &e.Slots, State: &state, Stage: e.Stage, StartedAtMS: e.born}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	switch {
	case r.Method == http.MethodPost && r.URL.Path == wire.PathHold:
		e.serveHold(w, r)
		return
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, wire.PathHoldRelease):
		e.freeHold(strings.TrimPrefix(r.URL.Path, wire.PathHoldRelease))
		return
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, wire.PathHandle):
		e.mu.Lock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, wire.PathHandle))
		e.mu.Unlock()
		return
	case id == "":
		e.reject(w, http.StatusBadRequest)
		return
	}
	if e.OnArrival != nil {
		e.OnArrival(e, r, at)
	}
	w.Header().Set(wire.HeaderRequestID, id)
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case e.Stage == "":
		e.servePlain(w, r, id, body)
	case r.Header.Get(wire.HeaderStage) == wire.StagePrefill:
		e.servePrefill(w, r, id)
	default:
		e.serveDecode(w, r, id)
	}
}

func (e *Engine) reject(w http.ResponseWriter, status int) {
	w.Header().Set(wire.HeaderNotExecuted, "1")
	w.WriteHeader(status)
}

func (e *Engine) sign(w http.ResponseWriter, id string) {
	w.Header().Set(wire.HeaderSignature, e.ID+"."+id)
}

func (e *Engine) began(r *http.Request, id string) {
	e.record.Add("engine %s: runs %s", e.ID, id)
	if e.OnRun != nil {
		e.OnRun(e, id, time.Now())
	}
	if e.Crashes != nil && e.Crashes(r) {
		e.record.Add("engine %s: crashes", e.ID)
		go e.Close()
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	e.mu.Lock()
	full := e.running >= 5*e.Slots // it runs Slots, and queues a few more
	if !full {
		e.running++
	}
	ahead := max(0, e.running-e.Slots)
	e.mu.Unlock()
	if full {
		e.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	wait := e.Work * time.Duration(ahead/e.Slots)
	if !Sleep(r.Context(), wait) {
		return
	}
	e.began(r, id)
	if !Sleep(r.Context(), e.Work) {
		return
	}
	e.sign(w, id)
	_, _ = fmt.Fprintf(w, "%s %s %s", e.ID, id, body) // fails only when the caller has gone
}

func (e *Engine) nextID(kind string) string {
	e.lastID++
	return fmt.Sprintf("%s-%s-%d", kind, e.ID, e.lastID)
}

func (e *Engine) serveHold(w http.ResponseWriter, r *http.Request) {
	var request wire.HoldRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for id, h := range e.holds {
		if now.After(h.until) {
			delete(e.holds, id)
			e.running--
			e.usedTokens -= h.tokens
		}
	}
	if e.running >= e.Slots || e.usedTokens+request.Tokens > e.MemoryTokens {
		e.reject(w, http.StatusServiceUnavailable)
		return
	}
	id := e.nextID("hold")
	e.holds[id] = engineHold{tokens: request.Tokens, until: now.Add(time.Duration(request.TTLMS) * time.Millisecond)}
	e.running++
	e.usedTokens += request.Tokens
	_ = json.NewEncoder(w).Encode(wire.HoldReply{Hold: id}) // fails only when the caller has gone
}

// freeHold gives a hold back. It reports whether there was one.
func (e *Engine) freeHold(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, found := e.holds[id]
	if found {
		delete(e.holds, id)
		e.running--
		e.usedTokens -= h.tokens
	}
	return found
}

func tokenCounts(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
	prompt, _ = strconv.Atoi(first) // the clients here state both
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// servePrefill reads a prompt. Prompts are read one after the other.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, id string) {
	prompt, _ := tokenCounts(r)
	if e.Hangs != nil && e.Hangs() {
		e.record.Add("engine %s: gives no answer to the prefill of %s", e.ID, id)
		<-r.Context().Done()
		return
	}
	e.mu.Lock()
	now := time.Now()
	if e.prefillFree.Before(now) {
		e.prefillFree = now
	}
	e.prefillFree = e.prefillFree.Add(time.Duration(float64(prompt) / e.TokensPerMS * float64(time.Millisecond)))
	done := e.prefillFree
	e.mu.Unlock()
	if !Sleep(r.Context(), time.Until(done)) {
		return
	}
	e.mu.Lock()
	handle := e.nextID("kv")
	e.handles[handle] = time.Now().Add(e.HandleTTL)
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(wire.PrefillReply{Handle: handle, Tokens: prompt, Version: 1}) // fails only when the caller has gone
}

// serveDecode streams the events of a request. It reads a prompt whose memory it does not get at half the
// speed.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, id string) {
	if e.Stage != wire.StageDecode {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if source := r.Header.Get(wire.HeaderKVSource); source != "" && !e.fetch(source) {
		e.reject(w, http.StatusServiceUnavailable)
		return
	}
	hold := r.Header.Get(wire.HeaderHold)
	hadHold := hold != "" && e.freeHold(hold)
	prompt, output := tokenCounts(r)
	e.mu.Lock()
	full := !hadHold && (e.running >= e.Slots || e.usedTokens+prompt+output > e.MemoryTokens)
	if !full {
		e.running++
		e.usedTokens += prompt + output
	}
	e.mu.Unlock()
	if full {
		e.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.usedTokens -= prompt + output
		e.mu.Unlock()
	}()
	if r.Header.Get(wire.HeaderKVSource) == "" {
		if !Sleep(r.Context(), time.Duration(2*float64(prompt)/e.TokensPerMS*float64(time.Millisecond))) {
			return
		}
	}
	e.began(r, id)
	e.sign(w, id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent)) // 0 without one
	for event := after + 1; event <= output; event++ {
		if !Sleep(r.Context(), e.Gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", event, e.ID, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // fails only when the caller has gone
	}
}

// fetch takes the memory of a prompt from the engine that has read it.
func (e *Engine) fetch(source string) bool {
	addr, handle, _ := strings.Cut(source, "/")
	from := e.Find(addr)
	if from == nil {
		return false
	}
	from.mu.Lock()
	defer from.mu.Unlock()
	until, found := from.handles[handle]
	delete(from.handles, handle)
	return found && time.Now().Before(until) && !from.closed
}
