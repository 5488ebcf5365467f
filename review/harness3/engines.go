package harness3

import (
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Engines holds the engines of a site.
type Engines struct {
	site *Site

	mu     sync.Mutex
	byAddr map[string]*Engine
	leftAt map[string]time.Time // when the store had confirmed that the entry is gone, by engine
}

// NewEngines returns an empty set.
func NewEngines(site *Site) *Engines {
	return &Engines{site: site, byAddr: map[string]*Engine{}, leftAt: map[string]time.Time{}}
}

// Start starts an engine and registers it.
func (s *Engines) Start(p EngineParams) (*Engine, error) {
	p.Find = s.find
	e, err := StartEngine(s.site.Record, p)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.byAddr[e.Addr] = e
	s.mu.Unlock()
	s.site.Record.Add("engine %s: starts at %s", e.ID, e.Addr)
	return e, s.site.Store.Put(wire.KindServers, e.ID, e.Entry(wire.StateReady))
}

func (s *Engines) find(addr string) *Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddr[addr]
}

// Leave removes the entry of an engine, which serves on for a time and then ends.
func (s *Engines) Leave(e *Engine, servesOn time.Duration) error {
	if err := s.site.Store.Remove(wire.KindServers, e.ID); err != nil {
		return err
	}
	s.mu.Lock()
	s.leftAt[e.ID] = time.Now()
	s.mu.Unlock()
	s.site.Record.Add("engine %s: the store has confirmed that its entry is removed; it serves on for %s", e.ID, servesOn)
	time.AfterFunc(servesOn, func() {
		s.site.Record.Add("engine %s: ends", e.ID)
		e.Close()
	})
	return nil
}

// LeftFor returns for how long the entry of an engine has been gone, 0 if it is registered.
func (s *Engines) LeftFor(id string, at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	left, found := s.leftAt[id]
	if !found {
		return 0
	}
	return at.Sub(left)
}

// Close ends all engines.
func (s *Engines) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.byAddr {
		e.Close()
	}
}
