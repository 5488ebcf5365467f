package engine

import (
	"net/http"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// serveOrder accepts an order. The engine serves its previous state until the order takes
// effect. A newer order replaces a pending one.
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
	var delay time.Duration
	if !stale {
		s.fence = max(s.fence, q.Fence)
		s.orders = append(s.orders, q)
		delay = s.setDesired(x.state, q.State)
	}
	s.mu.Unlock()
	if stale {
		return &failure{http.StatusConflict, upstream.CodeStaleFence, "fencing number is lower than one already seen"}
	}
	if delay > 0 {
		go s.applyDesired(x.state, q.State, delay)
	}
	s.reply(x, http.StatusOK, struct{}{})
	return nil
}

// setDesired sets the desired state and returns the duration of the change, 0 if the
// state is current or the change is already in progress.
func (s *Server) setDesired(st *state, desired upstream.EngineState) time.Duration {
	if desired == st.desired {
		return 0
	}
	st.desired = desired
	st.recordLoad(s.opts.Clock.Now())
	roleOnly := desired
	roleOnly.Role = st.current.Role
	switch st.current {
	case desired:
		return 0
	case roleOnly:
		return s.opts.RoleChangeDelay
	}
	return s.opts.LoadTime
}

// applyDesired makes the desired state current after a delay, unless a newer order or a
// crash occurs before.
func (s *Server) applyDesired(st *state, desired upstream.EngineState, delay time.Duration) {
	select {
	case <-st.done:
		return
	case <-s.opts.Clock.After(delay):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.desired == desired && !st.stopped() {
		st.current = desired
		st.recordLoad(s.opts.Clock.Now())
	}
}

// EngineState returns the current state of the engine.
func (s *Server) EngineState() upstream.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.current
}

// checkServed refuses requests of a role that the engine no longer has and prefills of a
// model that it does not serve.
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

// Orders returns the accepted orders.
func (s *Server) Orders() []upstream.OrderRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstream.OrderRequest(nil), s.orders...)
}
