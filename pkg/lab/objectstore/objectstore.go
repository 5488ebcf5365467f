// Package objectstore is a small fake of the platform for tests: the object API and the
// list of Instances over HTTP, with rate limits and injected faults.
//
// POST /lab/faults replaces the active faults by the Faults in its JSON body. GET
// /lab/faults returns them, and GET /lab/counters returns the Counters. Calls below
// /lab are not counted and not subject to limits and faults.
package objectstore

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

// maxWatchWait bounds the wait that a watch may request.
const maxWatchWait = time.Minute

// Options are the settings of a Server. Zero fields select the defaults.
type Options struct {
	// Seed is the seed of the random faults.
	Seed uint64
	// ReadsPerSecond and WritesPerSecond limit the calls; 0 means no limit. A watch
	// counts as one read, however long it waits.
	ReadsPerSecond, WritesPerSecond int
	// InstanceLag is the delay until a change is visible in the list of Instances.
	InstanceLag time.Duration
	// Now replaces the clock, by default time.Now.
	Now func() time.Time
}

// Server is the fake platform. It is safe for concurrent use.
type Server struct {
	opts  Options
	store *platform.MemoryStore
	mux   *http.ServeMux

	mu                        sync.Mutex
	faults                    Faults
	counters                  Counters
	random                    *rand.Rand
	readLimiter, writeLimiter rateLimiter
	previous                  map[string]platform.Object // Version 0: the object did not exist
	pendingChanges            []listChange
}

// listChange is a change of the list of Instances that is not visible yet.
type listChange struct {
	at       time.Time
	instance platform.Instance
	remove   bool
}

// New returns an empty platform without faults.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		opts:         opts,
		store:        platform.NewMemoryStore(),
		mux:          http.NewServeMux(),
		random:       rand.New(rand.NewPCG(opts.Seed, 0)),
		readLimiter:  rateLimiter{perSecond: opts.ReadsPerSecond},
		writeLimiter: rateLimiter{perSecond: opts.WritesPerSecond},
		previous:     map[string]platform.Object{},
	}
	s.store.WatchWait = maxWatchWait
	s.mux.HandleFunc("GET /v1/objects", s.withFaults(readCall, s.list))
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.withFaults(readCall, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.withFaults(writeCall, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{name...}", s.withFaults(writeCall, s.delete))
	s.mux.HandleFunc("GET /v1/watch", s.withFaults(watchCall, s.watch))
	s.mux.HandleFunc("GET /v1/instances", s.withFaults(readCall, s.instances))
	s.mux.HandleFunc("PUT /v1/instances/{id}", s.withFaults(writeCall, s.putInstance))
	s.mux.HandleFunc("DELETE /v1/instances/{id}", s.withFaults(writeCall, s.deleteInstance))
	s.mux.HandleFunc("POST /lab/faults", s.postFaults)
	s.mux.HandleFunc("GET /lab/faults", s.getFaults)
	s.mux.HandleFunc("GET /lab/counters", s.getCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Store returns the underlying store, which has no limits or faults.
func (s *Server) Store() *platform.MemoryStore { return s.store }
