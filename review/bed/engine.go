package bed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Names of the stand-in site.
const (
	Host  = "site.example"
	Model = "m"
)

// Run is a request that an engine has run.
type Run struct {
	At      time.Time
	ID      string // of the client's attempt
	Service string
	Engine  string
	Tenant  string
	Target  string
	// Ended is set when the engine has sent its whole answer.
	Ended bool
}

// Plain is a plain service of one or more equal engines.
type Plain struct {
	Name string
	// Work is the time that a request takes, Slots the requests that an engine runs at a time.
	Work  time.Duration
	Slots int

	site *Site
	mu   sync.Mutex
	runs map[string][]*Run
}

// StartPlain starts and registers the engines of a plain service.
func (s *Site) StartPlain(name string, engines, slots int, work time.Duration) *Plain {
	p := &Plain{Name: name, Work: work, Slots: slots, site: s, runs: map[string][]*Run{}}
	for i := range engines {
		id := fmt.Sprintf("i-%s-%d", name, i+1)
		addr := s.listenEngine(&plainEngine{service: p, id: id, slots: make(chan struct{}, slots)})
		s.register(id, name, addr, "", slots)
	}
	return p
}

// Runs returns the runs of a request.
func (p *Plain) Runs(id string) []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var runs []Run
	for _, run := range p.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

type plainEngine struct {
	service *Plain
	id      string
	slots   chan struct{}
}

// ServeHTTP runs a request when a slot is free, as a sound engine does.
func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, e.id)
	if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, id)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return // not run
	}
	run := &Run{At: time.Now(), ID: id, Service: e.service.Name, Engine: e.id, Tenant: r.Header.Get(wire.HeaderTenant), Target: r.RequestURI}
	e.service.mu.Lock()
	e.service.runs[id] = append(e.service.runs[id], run)
	e.service.mu.Unlock()
	e.service.site.Record.Line("%s (%s): runs request %s %s %s, tenant %q", e.id, e.service.Name, id, r.Method, r.RequestURI, run.Tenant)
	time.Sleep(e.service.Work) // a request that has begun is finished
	w.Header().Set(wire.HeaderSignature, e.id+"."+id)
	_, err = fmt.Fprintf(w, "%s %s %d", e.id, id, len(body))
	e.service.mu.Lock()
	run.Ended = err == nil
	e.service.mu.Unlock()
}

// StartModels starts and registers the engines of a model service, which are the project's own
// stand-ins. It returns the engines' addresses by their ids.
func (s *Site) StartModels(name string, prefill, decode int, params hostplatform.EngineParams, resumable func(path string) bool) {
	checker := hostplatform.NewInvariantChecker()
	byAddr := map[string]*hostplatform.Engine{}
	var mu sync.Mutex
	find := func(addr string) *hostplatform.Engine {
		mu.Lock()
		defer mu.Unlock()
		return byAddr[addr]
	}
	start := func(stage string, i int) {
		p := params
		p.ID, p.Prefill = fmt.Sprintf("i-%s-%s-%d", name, stage, i+1), stage == wire.StagePrefill
		model := hostplatform.NewEngine(p, checker)
		handler := standin.Engine{ID: p.ID, Model: model, FindEngine: find, Checker: checker, Resumable: resumable}
		addr := s.listenEngine(s.recordRuns(name, p.ID, handler))
		mu.Lock()
		byAddr[addr] = model
		mu.Unlock()
		s.register(p.ID, name, addr, stage, p.Slots)
	}
	for i := range prefill {
		start(wire.StagePrefill, i)
	}
	for i := range decode {
		start(wire.StageDecode, i)
	}
}

// recordRuns writes the requests that an engine gets to the record.
func (s *Site) recordRuns(service, id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(wire.HeaderRequestID)
		if request == "" {
			next.ServeHTTP(w, r)
			return
		}
		stage := r.Header.Get(wire.HeaderStage)
		s.Record.Line("%s (%s): gets request %s %s", id, service, request, stage)
		defer s.Record.Line("%s (%s): ends request %s %s", id, service, request, stage)
		next.ServeHTTP(w, r)
	})
}

func (s *Site) listenEngine(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fail("engine: %v", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return listener.Addr().String()
}

func (s *Site) register(id, service, addr, stage string, slots int) {
	zone, state := "a", wire.StateReady
	s.PutServer(id, wire.Server{Service: &service, Address: &addr, Zone: &zone, Slots: &slots, State: &state, Stage: stage, StartedAtMS: time.Now().UnixMilli()})
}
