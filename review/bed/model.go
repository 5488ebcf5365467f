package bed

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// WholeModel is a model service whose engines answer with one body instead of a stream.
type WholeModel struct {
	Name string
	Work time.Duration

	site   *Site
	mu     sync.Mutex
	lastID int
	runs   map[string][]*Run
}

// StartWholeModel starts and registers the engines of a model service.
func (s *Site) StartWholeModel(name string, prefill, decode, slots int, work time.Duration) *WholeModel {
	m := &WholeModel{Name: name, Work: work, site: s, runs: map[string][]*Run{}}
	for stage, count := range map[string]int{wire.StagePrefill: prefill, wire.StageDecode: decode} {
		for i := range count {
			id := fmt.Sprintf("i-%s-%s-%d", name, stage, i+1)
			s.register(id, name, s.listenEngine(&wholeEngine{model: m, id: id}), stage, slots)
		}
	}
	return m
}

// Runs returns the runs of a request.
func (m *WholeModel) Runs(id string) []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var runs []Run
	for _, run := range m.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

func (m *WholeModel) nextID() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	return fmt.Sprintf("%08x", m.lastID)
}

type wholeEngine struct {
	model *WholeModel
	id    string
}

// ServeHTTP grants holds, reads prompts and runs requests.
func (e *wholeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	switch {
	case r.Method == http.MethodPost && r.URL.Path == wire.PathHold:
		e.reply(w, wire.HoldReply{Hold: e.model.nextID()})
	case r.Method == http.MethodDelete && (strings.HasPrefix(r.URL.Path, wire.PathHoldRelease) || strings.HasPrefix(r.URL.Path, wire.PathHandle)):
	case r.Header.Get(wire.HeaderStage) == wire.StagePrefill:
		w.Header().Set(wire.HeaderRequestID, id)
		e.reply(w, wire.PrefillReply{Handle: e.model.nextID(), Tokens: 200, Version: 1})
	default:
		e.run(w, r, id, len(body))
	}
}

func (e *wholeEngine) reply(w http.ResponseWriter, reply any) {
	text, err := json.Marshal(reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // fails only when the caller has gone
}

func (e *wholeEngine) run(w http.ResponseWriter, r *http.Request, id string, length int) {
	m := e.model
	run := &Run{At: time.Now(), ID: id, Service: m.Name, Engine: e.id, Tenant: r.Header.Get(wire.HeaderTenant), Target: r.RequestURI}
	m.mu.Lock()
	m.runs[id] = append(m.runs[id], run)
	m.mu.Unlock()
	m.site.Record.Line("%s (%s): runs request %s %s %s, tenant %q", e.id, m.Name, id, r.Method, r.RequestURI, run.Tenant)
	time.Sleep(m.Work)
	w.Header().Set(wire.HeaderRequestID, id)
	w.Header().Set(wire.HeaderSignature, e.id+"."+id)
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{"engine":%q,"request":%q,"length":%d}`, e.id, id, length)
	m.mu.Lock()
	run.Ended = err == nil
	m.mu.Unlock()
}
