package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// progressEvery is how often a long prefill tells the caller that it progresses,
// with a 102 response.
const progressEvery = 250 * time.Millisecond

// statusCanceled is the status of a canceled request, which HTTP has no code for.
const statusCanceled = 499

var errCanceled = &failure{statusCanceled, upstream.CodeCanceled, "prefill was canceled"}

func (s *Server) servePrefill(x *exchange) *failure {
	var q upstream.PrefillRequest
	if fail := x.decode(&q); fail != nil {
		return fail
	}
	x.log.setAttempt(s, q.Attempt)
	if fail := s.declines(x.state, Prefill, q.Model); fail != nil {
		return fail
	}
	s.crashes(q.Prompt)
	defer s.cancelable(x, q.Attempt)()
	turn, fail := s.enqueue(x.state, q)
	if fail != nil {
		return fail
	}
	if !s.awaitTurn(x, turn) {
		return errCanceled
	}
	reply, ok := s.compute(x, q)
	s.finishTurn(x.state)
	if !ok {
		return errCanceled
	}
	s.reply(x, http.StatusOK, reply)
	return nil
}

// cancelable lets a cancel of the attempt end the request's context until the
// returned function is called.
func (s *Server) cancelable(x *exchange, attempt string) func() {
	ctx, cancel := context.WithCancel(x.request.Context())
	x.request = x.request.WithContext(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	x.state.prefills[attempt] = cancel
	return func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(x.state.prefills, attempt)
	}
}

// waiter is a prefill that waits for the processor.
type waiter struct {
	attempt  string
	priority int
	tokens   int
	ready    chan struct{}
}

// waitQueue holds waiters by priority, then by arrival.
type waitQueue []*waiter

func (q *waitQueue) push(w *waiter) {
	at, _ := slices.BinarySearchFunc(*q, w.priority, func(other *waiter, priority int) int {
		if other.priority >= priority {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, at, w)
}

func (q *waitQueue) remove(w *waiter) bool {
	at := slices.Index(*q, w)
	if at < 0 {
		return false
	}
	*q = slices.Delete(*q, at, at+1)
	return true
}

func (s *Server) enqueue(st *state, q upstream.PrefillRequest) (*waiter, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{attempt: q.Attempt, priority: q.Priority, tokens: promptTokens(q), ready: make(chan struct{})}
	if !st.busy {
		st.begin(w)
		return w, nil
	}
	if len(st.queue) >= s.opts.QueueLimit {
		return nil, &failure{http.StatusServiceUnavailable, upstream.CodeFull, "prefill queue is full"}
	}
	st.queue.push(w)
	st.observe(s.opts.Clock.Now())
	return w, nil
}

func (st *state) begin(w *waiter) {
	st.busy, st.working = true, w.attempt
	close(w.ready)
	st.observe(st.server.opts.Clock.Now())
}

func (s *Server) awaitTurn(x *exchange, w *waiter) bool {
	for {
		select {
		case <-w.ready:
			return true
		case <-s.opts.Clock.After(progressEvery):
			x.WriteHeader(http.StatusProcessing)
		case <-x.state.done:
			panic(http.ErrAbortHandler)
		case <-x.request.Context().Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			if !x.state.queue.remove(w) {
				x.state.next()
			}
			return false
		}
	}
}

// next gives the processor to the first waiter.
func (st *state) next() {
	st.busy, st.working = false, ""
	if len(st.queue) > 0 {
		w := st.queue[0]
		st.queue = st.queue[1:]
		st.begin(w)
		return
	}
	st.observe(st.server.opts.Clock.Now())
}

func (s *Server) finishTurn(st *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.next()
}

// compute takes the time of a prefill and keeps its result.
func (s *Server) compute(x *exchange, q upstream.PrefillRequest) (upstream.PrefillReply, bool) {
	hashes := upstream.PrefixHashes(q.Model, q.Prompt)
	s.mu.Lock()
	cached := x.state.cache.lookup(hashes) * core.BlockTokens
	s.mu.Unlock()
	tokens := promptTokens(q)
	cached = min(cached, tokens)
	left := time.Duration(tokens-cached) * s.opts.PerPromptToken
	for left > 0 {
		part := min(left, s.beforeSlow(progressEvery))
		if !s.wait(x.request.Context(), x.state, part) {
			return upstream.PrefillReply{}, false
		}
		left -= part
		if left > 0 {
			x.WriteHeader(http.StatusProcessing)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	x.state.cache.insert(now, hashes)
	kv := x.state.keep(now, q, tokens)
	return upstream.PrefillReply{
		KV:           kv,
		KeptForMS:    int(s.opts.KeptFor.Milliseconds()),
		CachedTokens: cached,
		Bytes:        int64(tokens) * s.opts.KVBytesPerToken,
	}, true
}

func promptTokens(q upstream.PrefillRequest) int {
	tokens := q.PromptTokens
	if tokens <= 0 {
		tokens = upstream.EstimateTokens(q.Prompt)
	}
	if q.Emitted != "" {
		tokens += upstream.EstimateTokens(q.Emitted)
	}
	return tokens
}

// keep stores a result under a new handle and drops those that are too old.
func (st *state) keep(now time.Time, q upstream.PrefillRequest, tokens int) upstream.KVHandle {
	for handle, kv := range st.kept {
		if !now.Before(kv.until) {
			delete(st.kept, handle)
		}
	}
	st.nextKV++
	handle := upstream.KVHandle(strconv.FormatUint(st.generation, 10) + "-" + strconv.FormatUint(st.nextKV, 10))
	st.kept[handle] = &kvCache{
		Seed:  seedOf(q.Prompt),
		Text:  q.Prompt + q.Emitted,
		Token: tokens,
		Bytes: int64(tokens) * st.server.opts.KVBytesPerToken,
		until: now.Add(st.server.opts.KeptFor),
	}
	return handle
}

// serveKV describes a KV cache to a decode engine. The bytes themselves are not
// sent: the importer takes the time of the transfer.
func (s *Server) serveKV(x *exchange) *failure {
	s.mu.Lock()
	kv, ok := x.state.kept[upstream.KVHandle(x.request.PathValue("handle"))]
	gone := !ok || !s.opts.Clock.Now().Before(kv.until)
	s.mu.Unlock()
	if gone {
		return &failure{http.StatusGone, upstream.CodeKVGone, "KV cache is not kept"}
	}
	s.reply(x, http.StatusOK, kv)
	return nil
}
