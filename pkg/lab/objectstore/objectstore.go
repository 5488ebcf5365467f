// Package objectstore is a small fake of the platform for tests and trials: the
// object API and the list of Instances over HTTP, with limits and faults.
package objectstore

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

// Options are the settings of a Server. Zero fields take the default.
type Options struct {
	// Seed drives the faults.
	Seed uint64
	// ReadsPerSecond and WritesPerSecond limit the calls; 0 means no limit. A
	// waiting watch counts as one read.
	ReadsPerSecond, WritesPerSecond int
	// InstanceLag is the delay with which the list of Instances shows changes.
	InstanceLag time.Duration
	// Now replaces the clock.
	Now func() time.Time
}

// Faults are the faults that a Server injects. The zero value injects none.
// Rates are probabilities from 0 to 1.
type Faults struct {
	// Outage refuses all calls with 503.
	Outage bool `json:"outage"`
	// LatencyMS delays each call, with up to JitterMS added.
	LatencyMS int `json:"latency_ms"`
	JitterMS  int `json:"jitter_ms"`
	// LostAnswerRate closes the connection after a write took effect.
	LostAnswerRate float64 `json:"lost_answer_rate"`
	// StaleReadRate answers a read with the version before the current one.
	StaleReadRate float64 `json:"stale_read_rate"`
	// SilentWatch never answers a watch.
	SilentWatch bool `json:"silent_watch"`
}

// Server is the fake platform. It is safe for concurrent use.
type Server struct {
	opts   Options
	store  *platform.Memory
	mux    *http.ServeMux
	mu     sync.Mutex
	faults Faults
}

// New returns an empty platform without faults.
func New(opts Options) *Server {
	s := &Server{opts: opts, store: platform.NewMemory(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/objects", s.list)
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.put)
	s.mux.HandleFunc("DELETE /v1/objects/{name...}", s.delete)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("GET /v1/instances", s.instances)
	s.mux.HandleFunc("PUT /v1/instances/{id}", s.putInstance)
	s.mux.HandleFunc("DELETE /v1/instances/{id}", s.deleteInstance)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Store returns the objects behind the server, without limits or faults.
func (s *Server) Store() *platform.Memory { return s.store }

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	infos, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, infos)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeObject(w, object)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	base, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		writeError(w, platform.ErrTooLarge)
		return
	}
	version, err := s.store.Put(r.Context(), r.PathValue("name"), value, base)
	if err != nil {
		writeError(w, err)
		return
	}
	setVersion(w, version)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	base, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	if err := s.store.Delete(r.Context(), r.PathValue("name"), base); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	object, err := s.store.Watch(r.Context(), r.URL.Query().Get("name"), after)
	if err != nil {
		writeError(w, err)
		return
	}
	writeObject(w, object)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	list, err := s.store.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, list)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.ID = r.PathValue("id")
	if err := s.store.PutInstance(r.Context(), instance); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	if err := s.store.DeleteInstance(r.Context(), r.PathValue("id")); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// condition returns the version that a write replaces, 0 for a create.
func condition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || base == 0 {
		return 0, errors.New("a write needs If-None-Match: * or If-Match with a version")
	}
	return base, nil
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func writeObject(w http.ResponseWriter, object platform.Object) {
	setVersion(w, object.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes the status that platform.NewHTTP maps back to err.
func writeError(w http.ResponseWriter, err error) {
	var conflict platform.ErrConflict
	switch {
	case errors.As(err, &conflict):
		if conflict.Current != 0 {
			setVersion(w, conflict.Current)
		}
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrNotModified):
		w.WriteHeader(http.StatusNotModified)
	case errors.Is(err, platform.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, platform.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
