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
		took = s.accept(x.state, q.State)
	}
	s.mu.Unlock()
	if stale {
		return &failure{http.StatusConflict, upstream.CodeStaleFence, "fencing number is lower than one already seen"}
	}
	if took > 0 {
		go s.change(x.state, q.State, took)
	}
	s.reply(x, http.StatusOK, struct{}{})
	return nil
}

// accept notes the wanted state and returns how long the change takes, 0 when it
// is done or already being carried out.
func (s *Server) accept(st *state, want upstream.EngineState) time.Duration {
	if want == st.wants {
		return 0
	}
	st.wants = want
	st.observe(s.opts.Clock.Now())
	roleOnly := want
	roleOnly.Role = st.serves.Role
	switch st.serves {
	case want:
		return 0
	case roleOnly:
		return s.opts.RoleTime
	}
	return s.opts.LoadTime
}

// change takes the wanted state over after a time, unless a newer order or a crash
// has come in between.
func (s *Server) change(st *state, want upstream.EngineState, took time.Duration) {
	select {
	case <-st.done:
		return
	case <-s.opts.Clock.After(took):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.wants == want && !st.stopped() {
		st.serves = want
		st.observe(s.opts.Clock.Now())
	}
}

// Serves returns the present state of the engine.
func (s *Server) Serves() upstream.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.serves
}

// declines refuses a prefill of a model that the engine does not serve, and new
// work of a role that it no longer has.
func (s *Server) declines(st *state, role Role, model string) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case st.serves.Role != string(s.opts.Role) && st.serves.Role != string(role):
		return &failure{http.StatusServiceUnavailable, upstream.CodeRefused, "engine has the role " + st.serves.Role}
	case model != "" && st.serves.Model != "" && model != st.serves.Model:
		return &failure{http.StatusServiceUnavailable, upstream.CodeRefused, "engine serves model " + st.serves.Model}
	}
	return nil
}

// Orders returns the orders that were accepted.
func (s *Server) Orders() []upstream.OrderRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstream.OrderRequest(nil), s.orders...)
}
