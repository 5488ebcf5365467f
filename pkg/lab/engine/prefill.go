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

// progressInterval is the interval at which queued or long-running work reports
// progress: a prefill with a 102 response, a queued decode with a comment.
const progressInterval = 250 * time.Millisecond

// statusCanceled is a nonstandard status for a canceled request; HTTP defines none.
const statusCanceled = 499

var errCanceled = &failure{statusCanceled, upstream.CodeCanceled, "prefill was canceled"}

func (s *Server) servePrefill(x *exchange) *failure {
	var q upstream.PrefillRequest
	if fail := x.decode(&q); fail != nil {
		return fail
	}
	x.log.setAttempt(s, q.Attempt)
	if fail := s.checkServed(x.state, Prefill, q.Model); fail != nil {
		return fail
	}
	s.crashOnMarker(q.Prompt)
	defer s.cancelable(x, q.Attempt)()
	queued, fail := s.enqueue(x.state, q)
	if fail != nil {
		return fail
	}
	if !s.awaitProcessor(x, queued) {
		return errCanceled
	}
	reply, ok := s.compute(x, q)
	s.releaseProcessor(x.state)
	if !ok {
		return errCanceled
	}
	s.reply(x, http.StatusOK, reply)
	return nil
}

// cancelable registers a cancel function for the attempt that ends the request's context.
// The returned function removes it.
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

// queuedPrefill is a prefill that waits for the processor or uses it.
type queuedPrefill struct {
	attempt  string
	priority int
	tokens   int
	started  chan struct{}
}

// prefillQueue holds prefills by priority, then by arrival.
type prefillQueue []*queuedPrefill

func (q *prefillQueue) push(w *queuedPrefill) {
	i, _ := slices.BinarySearchFunc(*q, w.priority, func(other *queuedPrefill, priority int) int {
		if other.priority >= priority {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, i, w)
}

func (q *prefillQueue) remove(w *queuedPrefill) bool {
	i := slices.Index(*q, w)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}

func (s *Server) enqueue(st *state, q upstream.PrefillRequest) (*queuedPrefill, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &queuedPrefill{attempt: q.Attempt, priority: q.Priority, tokens: promptTokens(q), started: make(chan struct{})}
	if !st.busy {
		st.startPrefill(w)
		return w, nil
	}
	if len(st.prefillQueue) >= s.opts.QueueLimit {
		return nil, &failure{http.StatusServiceUnavailable, upstream.CodeFull, "prefill queue is full"}
	}
	st.prefillQueue.push(w)
	st.recordLoad(s.opts.Clock.Now())
	return w, nil
}

func (st *state) startPrefill(w *queuedPrefill) {
	st.busy, st.runningPrefill = true, w.attempt
	close(w.started)
	st.recordLoad(st.server.opts.Clock.Now())
}

func (s *Server) awaitProcessor(x *exchange, w *queuedPrefill) bool {
	for {
		select {
		case <-w.started:
			return true
		case <-s.opts.Clock.After(progressInterval):
			x.WriteHeader(http.StatusProcessing)
		case <-x.state.done:
			panic(http.ErrAbortHandler)
		case <-x.request.Context().Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			if !x.state.prefillQueue.remove(w) {
				x.state.startNextPrefill()
			}
			return false
		}
	}
}

// startNextPrefill assigns the processor to the first queued prefill.
func (st *state) startNextPrefill() {
	st.busy, st.runningPrefill = false, ""
	if len(st.prefillQueue) > 0 {
		w := st.prefillQueue[0]
		st.prefillQueue = st.prefillQueue[1:]
		st.startPrefill(w)
		return
	}
	st.recordLoad(st.server.opts.Clock.Now())
}

func (s *Server) releaseProcessor(st *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.startNextPrefill()
}

// compute waits for the duration of a prefill and stores its result. It returns false
// if the request was canceled.
func (s *Server) compute(x *exchange, q upstream.PrefillRequest) (upstream.PrefillResponse, bool) {
	hashes := upstream.PrefixHashes(q.Model, q.Prompt)
	s.mu.Lock()
	cached := x.state.cache.lookup(hashes) * core.BlockTokens
	s.mu.Unlock()
	tokens := promptTokens(q)
	cached = min(cached, tokens)
	left := time.Duration(tokens-cached) * s.opts.PerPromptToken
	for left > 0 {
		part := min(left, s.unslowed(progressInterval))
		if !s.wait(x.request.Context(), x.state, part) {
			return upstream.PrefillResponse{}, false
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
	handle := x.state.storeKV(now, q, tokens)
	return upstream.PrefillResponse{
		KV:           handle,
		RetentionMS:  int(s.opts.KVTTL.Milliseconds()),
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

// storeKV stores a result under a new handle and removes expired ones.
func (st *state) storeKV(now time.Time, q upstream.PrefillRequest, tokens int) upstream.KVHandle {
	for handle, kv := range st.kvCaches {
		if !now.Before(kv.expiresAt) {
			delete(st.kvCaches, handle)
		}
	}
	st.nextKV++
	handle := upstream.KVHandle(strconv.FormatUint(st.generation, 10) + "-" + strconv.FormatUint(st.nextKV, 10))
	st.kvCaches[handle] = &kvCache{
		Seed:      promptSeed(q.Prompt),
		Text:      q.Prompt + q.Emitted,
		Tokens:    tokens,
		Bytes:     int64(tokens) * st.server.opts.KVBytesPerToken,
		expiresAt: now.Add(st.server.opts.KVTTL),
	}
	return handle
}

// serveKV describes a KV cache to a decode engine. The data are not sent: the importing
// engine simulates the duration of the transfer.
func (s *Server) serveKV(x *exchange) *failure {
	s.mu.Lock()
	kv, ok := x.state.kvCaches[upstream.KVHandle(x.request.PathValue("handle"))]
	expired := !ok || !s.opts.Clock.Now().Before(kv.expiresAt)
	s.mu.Unlock()
	if expired {
		return &failure{http.StatusGone, upstream.CodeKVGone, "KV cache is not kept"}
	}
	s.reply(x, http.StatusOK, kv)
	return nil
}
