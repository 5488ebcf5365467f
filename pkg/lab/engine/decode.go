package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// attempt is one request in the decode role. It runs until its last token or its
// cancellation, with or without a reader. It is guarded by Server.mu.
type attempt struct {
	id           string
	seed         uint64
	blocks       int
	offset       int
	maxTokens    int
	imported     bool // the KV cache was imported
	tokens       []upstream.Token
	generation   uint64
	priority     int
	neededBlocks int           // memory for the whole attempt
	admitted     chan struct{} // closed when a slot and memory are allocated
	errorCode    string        // reason of an early end, empty otherwise
	ended        bool
	endedAt      time.Time
	changed      chan struct{} // closed and replaced at each change
}

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (s *Server) serveDecode(x *exchange) *failure {
	var q upstream.DecodeRequest
	if fail := x.decode(&q); fail != nil {
		return fail
	}
	if q.Attempt == "" || q.MaxTokens <= 0 || q.Offset < 0 || q.Offset >= q.MaxTokens {
		return &failure{http.StatusBadRequest, upstream.CodeMalformed, "attempt, max_tokens and offset must fit"}
	}
	x.log.setAttempt(s, q.Attempt)
	if fail := s.checkServed(x.state, Decode, ""); fail != nil {
		return fail
	}
	kv, fail := s.fetchKVDescription(x, q)
	if fail != nil {
		return fail
	}
	s.crashOnMarker(kv.Text)
	a, fail := s.reserve(x.state, q, kv)
	if fail != nil {
		return fail
	}
	x.startStream(1)
	if s.awaitSlot(x, a) && s.importKV(x, a, kv) {
		s.startDecoding(x.state, a)
	}
	s.relay(x, a, 1, q.Offset)
	return nil
}

// fetchKVDescription fetches the description of the KV cache from the prefill engine.
func (s *Server) fetchKVDescription(x *exchange, q upstream.DecodeRequest) (*kvCache, *failure) {
	unavailable := &failure{http.StatusGone, upstream.CodeKVGone, "KV cache can't be imported"}
	ctx, cancel := context.WithTimeout(x.request.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, q.Source+upstream.PathKV+"/"+url.PathEscape(string(q.KV)), nil)
	if err != nil {
		return nil, &failure{http.StatusBadRequest, upstream.CodeMalformed, err.Error()}
	}
	response, err := s.kv.Do(request)
	if err != nil {
		return nil, unavailable
	}
	defer response.Body.Close()
	var kv kvCache
	err = json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(&kv)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, unavailable
	}
	return &kv, nil
}

// reserve allocates a slot and memory for the whole attempt, or queues it.
func (s *Server) reserve(st *state, q upstream.DecodeRequest, kv *kvCache) (*attempt, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	st.removeExpiredAttempts(now)
	if _, ok := st.attempts[q.Attempt]; ok {
		return nil, &failure{http.StatusConflict, upstream.CodeAttemptExists, "attempt exists"}
	}
	blocks := blocksFor(kv.Tokens + q.MaxTokens - q.Offset)
	a := &attempt{
		id: q.Attempt, seed: kv.Seed, neededBlocks: blocks, offset: q.Offset, maxTokens: q.MaxTokens, priority: q.Priority,
		generation: 1, changed: make(chan struct{}), admitted: make(chan struct{}),
	}
	switch {
	case len(st.decodeQueue) == 0 && st.fits(a):
		st.admit(a)
	case len(st.decodeQueue) < s.opts.QueueLimit && blocks <= s.opts.Blocks:
		st.enqueueDecode(a)
	default:
		return nil, &failure{http.StatusServiceUnavailable, upstream.CodeFull, "no free slot or memory"}
	}
	st.attempts[q.Attempt] = a
	st.recordLoad(now)
	return a, nil
}

func (st *state) fits(a *attempt) bool {
	return st.usedSlots < st.server.opts.Slots && a.neededBlocks <= st.freeBlocks
}

func (st *state) admit(a *attempt) {
	a.blocks = a.neededBlocks
	st.freeBlocks -= a.blocks
	st.usedSlots++
	close(a.admitted)
}

// enqueueDecode inserts an attempt into the queue behind those of the same or a higher
// priority.
func (st *state) enqueueDecode(a *attempt) {
	i := slices.IndexFunc(st.decodeQueue, func(other *attempt) bool { return other.priority < a.priority })
	if i < 0 {
		i = len(st.decodeQueue)
	}
	st.decodeQueue = slices.Insert(st.decodeQueue, i, a)
}

// awaitSlot waits until the attempt is admitted. It returns false when the attempt was
// canceled in the queue.
func (s *Server) awaitSlot(x *exchange, a *attempt) bool {
	for {
		s.mu.Lock()
		ended, changed := a.ended, a.changed
		s.mu.Unlock()
		if ended {
			return false
		}
		select {
		case <-a.admitted:
			return true
		case <-changed:
		case <-s.opts.Clock.After(progressInterval):
			x.write(": queued\n\n")
		case <-x.state.done:
			panic(http.ErrAbortHandler)
		}
	}
}

// removeExpiredAttempts removes attempts that ended at least FinishedTTL ago.
func (st *state) removeExpiredAttempts(now time.Time) {
	for id, a := range st.attempts {
		if a.ended && now.Sub(a.endedAt) >= st.server.opts.FinishedTTL {
			delete(st.attempts, id)
		}
	}
}

// finish ends an attempt, frees its slot and memory, and admits queued attempts that
// fit. code is empty after the last token.
func (st *state) finish(a *attempt, code string) {
	if a.ended {
		return
	}
	now := st.server.opts.Clock.Now()
	a.ended, a.errorCode, a.endedAt = true, code, now
	if a.blocks > 0 {
		st.freeBlocks += a.blocks
		st.usedSlots--
		a.blocks = 0
	}
	st.decodeQueue = slices.DeleteFunc(st.decodeQueue, func(other *attempt) bool { return other == a })
	for len(st.decodeQueue) > 0 && st.fits(st.decodeQueue[0]) {
		st.admit(st.decodeQueue[0])
		st.decodeQueue = st.decodeQueue[1:]
	}
	a.notify()
	st.recordLoad(now)
}

// transferProgressInterval is the interval of progress comments during a KV transfer.
const transferProgressInterval = 100 * time.Millisecond

// importKV waits for the duration of the transfer over the link, which all imports of
// this engine share. It continues when the reader has disconnected, so the memory stays
// allocated until the attempt ends. It returns false when the attempt was canceled.
func (s *Server) importKV(x *exchange, a *attempt, kv *kvCache) bool {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	if x.state.linkFreeAt.Before(now) {
		x.state.linkFreeAt = now
	}
	duration := time.Duration(float64(kv.Bytes) / float64(s.opts.LinkBytesPerSecond) * float64(time.Second))
	x.state.linkFreeAt = x.state.linkFreeAt.Add(duration)
	left := x.state.linkFreeAt.Sub(now)
	s.mu.Unlock()
	for left > 0 || s.transfersStalled() {
		part := min(max(left, time.Millisecond), s.unslowed(transferProgressInterval))
		s.wait(context.Background(), x.state, part)
		s.mu.Lock()
		ended, stalled := a.ended, s.faults.StallTransfers
		s.mu.Unlock()
		if ended {
			return false
		}
		if !stalled {
			left -= part
			x.write(": transferring\n\n")
		}
	}
	return true
}

func (s *Server) transfersStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.StallTransfers
}

// startDecoding adds an attempt to the batch and starts the batch if it is idle.
func (s *Server) startDecoding(st *state, a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.imported = true
	if !st.batchRunning {
		st.batchRunning = true
		go s.runBatch(st)
	}
}

// runBatch generates one token for each running attempt per step until none is left.
func (s *Server) runBatch(st *state) {
	for {
		s.mu.Lock()
		members := st.batch()
		if len(members) == 0 {
			st.batchRunning = false
			s.mu.Unlock()
			return
		}
		stalled := s.faults.StallDecode
		s.mu.Unlock()
		step := s.opts.PerOutputToken + time.Duration(len(members))*s.opts.PerBatchMember
		select {
		case <-s.opts.Clock.After(s.slowed(step)):
		case <-st.done:
			return
		}
		if !stalled {
			s.step(st, members)
		}
	}
}

func (st *state) batch() []*attempt {
	members := make([]*attempt, 0, len(st.attempts))
	for _, a := range st.attempts {
		if a.imported && !a.ended {
			members = append(members, a)
		}
	}
	return members
}

func (s *Server) step(st *state, members []*attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range members {
		if a.ended {
			continue
		}
		index := a.offset + len(a.tokens)
		token := upstream.Token{Index: index, Text: tokenText(a.seed, index)}
		if index == a.maxTokens-1 {
			token.Done, token.Reason = true, "length"
		}
		a.tokens = append(a.tokens, token)
		if token.Done {
			st.finish(a, "")
		} else {
			a.notify()
		}
	}
}

func (s *Server) serveCancel(x *exchange) *failure {
	id := x.request.PathValue("id")
	s.mu.Lock()
	a, ok := x.state.attempts[id]
	if ok {
		x.state.finish(a, upstream.CodeCanceled)
	}
	cancel, prefilling := x.state.prefills[id]
	s.mu.Unlock()
	if prefilling {
		cancel()
	}
	if !ok && !prefilling {
		return &failure{http.StatusNotFound, upstream.CodeUnknownAttempt, "attempt is not known"}
	}
	s.reply(x, http.StatusOK, struct{}{})
	return nil
}

func (s *Server) serveResume(x *exchange) *failure {
	var q upstream.ResumeRequest
	if fail := x.decode(&q); fail != nil {
		return fail
	}
	a, fail := s.supersedeReader(x.state, x.request.PathValue("id"), &q)
	if fail != nil {
		return fail
	}
	x.startStream(q.Generation)
	s.relay(x, a, q.Generation, q.Offset)
	return nil
}

// supersedeReader raises the generation of an attempt, which ends the stream of the
// previous reader.
func (s *Server) supersedeReader(st *state, id string, q *upstream.ResumeRequest) (*attempt, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.removeExpiredAttempts(s.opts.Clock.Now())
	a, ok := st.attempts[id]
	if !ok || a.errorCode == upstream.CodeCanceled {
		return nil, &failure{http.StatusNotFound, upstream.CodeUnknownAttempt, "attempt is not known"}
	}
	if q.Generation == 0 {
		q.Generation = a.generation + 1
	}
	if q.Generation <= a.generation {
		return nil, &failure{http.StatusConflict, upstream.CodeStaleGeneration, "a later reader has the attempt"}
	}
	if q.Offset < a.offset || q.Offset > a.offset+len(a.tokens) {
		return nil, &failure{http.StatusBadRequest, upstream.CodeBadOffset, "offset was not generated by this attempt"}
	}
	if q.NewAttempt != "" && q.NewAttempt != id {
		delete(st.attempts, id)
		st.attempts[q.NewAttempt] = a
		a.id = q.NewAttempt
	}
	a.generation = q.Generation
	a.notify()
	return a, nil
}

func (x *exchange) startStream(generation uint64) {
	x.Header().Set("Content-Type", "text/event-stream")
	x.Header().Set(upstream.HeaderGeneration, strconv.FormatUint(generation, 10))
	x.WriteHeader(http.StatusOK)
	x.flush()
}

func (x *exchange) flush() { _ = http.NewResponseController(x.ResponseWriter).Flush() }

// write sends text immediately. It ignores errors: they mean that the reader has
// disconnected, which also ends the context of the request.
func (x *exchange) write(text string) {
	_, _ = io.WriteString(x, text)
	x.flush()
}

// relay sends the tokens from index next on until the attempt ends, a later reader
// supersedes this one, or the reader disconnects. The attempt continues without a reader.
func (s *Server) relay(x *exchange, a *attempt, generation uint64, next int) {
	for {
		s.mu.Lock()
		superseded := a.generation != generation
		pending := a.tokens[max(0, min(next-a.offset, len(a.tokens))):]
		ended, code, changed := a.ended, a.errorCode, a.changed
		s.mu.Unlock()
		if superseded {
			x.writeError(upstream.CodeSuperseded)
			return
		}
		for _, token := range pending {
			x.writeToken(token)
			next = token.Index + 1
		}
		if ended {
			if code != "" {
				x.writeError(code)
			}
			return
		}
		select {
		case <-changed:
		case <-x.request.Context().Done():
			return
		case <-x.state.done:
			panic(http.ErrAbortHandler)
		}
	}
}

func (x *exchange) writeToken(token upstream.Token) {
	data, err := json.Marshal(token)
	if err != nil {
		panic(errors.Join(http.ErrAbortHandler, err))
	}
	x.write(fmt.Sprintf("id: %d\ndata: %s\n\n", token.Index, data))
}

func (x *exchange) writeError(code string) {
	data, err := json.Marshal((&failure{code: code, message: "attempt ended early"}).body())
	if err != nil {
		panic(errors.Join(http.ErrAbortHandler, err))
	}
	x.write(fmt.Sprintf("event: error\ndata: %s\n\n", data))
}
