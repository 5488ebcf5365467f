package engine

import (
	"net/http"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// serveOrder accepts an order. The engine serves its former state until the change
// is done. A newer order replaces the one that is being carried out.
func (s *Server) serveOrder(x *exchange) *failure {
	var q upstream.OrderRequest
	if fail := x.decode(&q); fail != nil {
		return fail
	}
	if q.State.Role != string(Prefill) && q.State.Role != string(Decode) {
		return &failure{http.StatusBadRequest, upstream.CodeMalformed, "role is neither prefill nor decode"}
	}
	s.mu.Lock()
	stale := s.opts.CheckFencing && q.Fence < s.fence
	var took time.Duration
	if !stale {
		s.fence = max(s.fence, q.Fence)
		s.orders = append(s.orders, q)
		took = s.setDesired(x.state, q.State)
	}
	s.mu.Unlock()
	if stale {
		return &failure{http.StatusConflict, upstream.CodeStaleFence, "fencing number is lower than one already seen"}
	}
	if took > 0 {
		go s.applyDesired(x.state, q.State, took)
	}
	s.reply(x, http.StatusOK, struct{}{})
	return nil
}

// setDesired notes the wanted state and returns how long the change takes, 0 when it
// is done or already being carried out.
func (s *Server) setDesired(st *state, want upstream.EngineState) time.Duration {
	if want == st.desired {
		return 0
	}
	st.desired = want
	st.recordLoad(s.opts.Clock.Now())
	roleOnly := want
	roleOnly.Role = st.current.Role
	switch st.current {
	case want:
		return 0
	case roleOnly:
		return s.opts.RoleTime
	}
	return s.opts.LoadTime
}

// applyDesired takes the wanted state over after a time, unless a newer order or a crash
// has come in between.
func (s *Server) applyDesired(st *state, want upstream.EngineState, took time.Duration) {
	select {
	case <-st.done:
		return
	case <-s.opts.Clock.After(took):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.desired == want && !st.stopped() {
		st.current = want
		st.recordLoad(s.opts.Clock.Now())
	}
}

// Serves returns the present state of the engine.
func (s *Server) Serves() upstream.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.current
}

// checkServed refuses a prefill of a model that the engine does not serve, and new
// work of a role that it no longer has.
func (s *Server) checkServed(st *state, role Role, model string) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case st.current.Role != string(s.opts.Role) && st.current.Role != string(role):
		return &failure{http.StatusServiceUnavailable, upstream.CodeRefused, "engine has the role " + st.current.Role}
	case model != "" && st.current.Model != "" && model != st.current.Model:
		return &failure{http.StatusServiceUnavailable, upstream.CodeRefused, "engine serves model " + st.current.Model}
	}
	return nil
}

// Orders returns the orders that were accepted.
func (s *Server) Orders() []upstream.OrderRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstream.OrderRequest(nil), s.orders...)
}
