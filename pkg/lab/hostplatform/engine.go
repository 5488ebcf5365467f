package hostplatform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Errors of an Engine. The request has not run when one of them is returned.
var (
	// ErrFull means that the engine has no free slot or not enough memory.
	ErrFull = errors.New("engine is full")
	// ErrWrongStage means that the engine does not serve this stage.
	ErrWrongStage = errors.New("engine serves another stage")
	// ErrKVNotFound means that the KV cache or the hold does not exist or has expired.
	ErrKVNotFound = errors.New("KV cache or hold does not exist")
)

// EngineParams describe an Engine.
type EngineParams struct {
	ID string
	// Prefill selects the prefill stage; otherwise the engine decodes.
	Prefill      bool
	Slots        int
	MemoryTokens int
	// PrefillTokensPerSecond is the throughput of a prefill.
	PrefillTokensPerSecond float64
	// EventInterval is the interval between two events of a stream.
	EventInterval time.Duration
	// KVTTL is the TTL of a KV cache that no decode engine fetches.
	KVTTL time.Duration
}

// Engine is a model engine with holds and KV caches. It is safe for concurrent use.
type Engine struct {
	params  EngineParams
	checker *InvariantChecker

	mu           sync.Mutex
	lastID       int
	usedSlots    int
	usedTokens   int
	holds        map[string]hold
	caches       map[string]kvCache
	held         HeldParts
	leavingSince time.Time
	crashed      chan struct{}
}

type hold struct {
	tokens    int
	expiresAt time.Time
}

type kvCache struct {
	request   string
	expiresAt time.Time
}

// NewEngine returns an idle engine that reports arrivals and executions to the checker.
func NewEngine(p EngineParams, c *InvariantChecker) *Engine {
	return &Engine{params: p, checker: c, holds: map[string]hold{}, caches: map[string]kvCache{}, crashed: make(chan struct{})}
}

// ID returns the name of the engine.
func (e *Engine) ID() string { return e.params.ID }

// AnnounceLeaving records that the engine has announced that it is leaving.
func (e *Engine) AnnounceLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince = time.Now()
}

// Crash ends all work without a response and discards all holds and KV caches.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.usedSlots, e.usedTokens = 0, 0
	clear(e.holds)
	clear(e.caches)
	e.held = nil
}

// ErrCrashed means that the engine crashed during the request, which may have run.
var ErrCrashed = errors.New("engine has crashed")

func (e *Engine) removeExpired(now time.Time) {
	for id, h := range e.holds {
		if now.After(h.expiresAt) {
			e.freeHold(id, h)
		}
	}
	for id, c := range e.caches {
		if now.After(c.expiresAt) {
			delete(e.caches, id)
		}
	}
}

func (e *Engine) freeHold(id string, h hold) {
	delete(e.holds, id)
	e.usedSlots--
	e.usedTokens -= h.tokens
}

// AcquireHold reserves a slot and memory until the term has passed. It returns the
// identifier of the hold, or ErrFull.
func (e *Engine) AcquireHold(tokens int, term time.Duration) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.removeExpired(now)
	if e.usedSlots >= e.params.Slots || e.usedTokens+tokens > e.params.MemoryTokens {
		return "", ErrFull
	}
	e.lastID++
	id := fmt.Sprintf("hold-%d", e.lastID)
	e.holds[id] = hold{tokens: tokens, expiresAt: now.Add(term)}
	e.usedSlots++
	e.usedTokens += tokens
	return id, nil
}

// ReleaseHold releases a hold. It reports whether the hold existed.
func (e *Engine) ReleaseHold(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, exists := e.holds[id]
	if exists {
		e.freeHold(id, h)
	}
	return exists
}

// ReleaseKV frees a KV cache. It reports whether the KV cache existed.
func (e *Engine) ReleaseKV(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, exists := e.caches[id]
	delete(e.caches, id)
	return exists
}

// UsedTokens returns the memory that is held or in use, in tokens.
func (e *Engine) UsedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	return e.usedTokens
}

// Prefill processes a prompt and returns the identifier of its KV cache.
func (e *Engine) Prefill(ctx context.Context, req UpstreamRequest) (string, error) {
	if !e.params.Prefill {
		return "", ErrWrongStage
	}
	e.recordArrival(req)
	crashed := e.crashSignal()
	e.mu.Lock()
	tokens := max(0, req.PromptTokens-e.held.Prefill(req.Parts, e.params.MemoryTokens-e.usedTokens))
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-crashed:
		return "", ErrCrashed
	case <-time.After(time.Duration(float64(tokens) / e.params.PrefillTokensPerSecond * float64(time.Second))):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	id := fmt.Sprintf("kv-%d", e.lastID)
	e.caches[id] = kvCache{request: req.Request, expiresAt: time.Now().Add(e.params.KVTTL)}
	return id, nil
}

// TransferKV removes a KV cache for its transfer to a decode engine. It reports a violation
// if the KV cache belongs to another request.
func (e *Engine) TransferKV(id, request string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	c, exists := e.caches[id]
	if !exists {
		return ErrKVNotFound
	}
	delete(e.caches, id)
	if c.request != request {
		e.checker.ReportViolation("request %s continues from the KV cache of request %s", request, c.request)
	}
	return nil
}

// Decode emits the events of a response that follow event number after, up to last. It
// consumes the hold, if one is given.
func (e *Engine) Decode(ctx context.Context, req UpstreamRequest, holdID string, after, last int, emit func(event int) error) error {
	if e.params.Prefill {
		return ErrWrongStage
	}
	e.recordArrival(req)
	if err := e.acquireSlot(req, holdID); err != nil {
		return err
	}
	defer e.releaseSlot(req)
	e.checker.RecordExecution(e.params.ID, req)
	crashed := e.crashSignal()
	for event := after + 1; event <= last; event++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-crashed:
			return ErrCrashed
		case <-time.After(e.params.EventInterval):
		}
		if err := emit(event); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) crashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) recordArrival(req UpstreamRequest) {
	e.mu.Lock()
	leaving := e.leavingSince
	e.mu.Unlock()
	e.checker.RecordArrival(e.params.ID, req, leaving)
}

func (e *Engine) acquireSlot(req UpstreamRequest, holdID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	if h, exists := e.holds[holdID]; exists {
		e.freeHold(holdID, h)
	} else if holdID != "" {
		return ErrKVNotFound
	}
	need := req.PromptTokens + req.OutputTokens
	if e.usedSlots >= e.params.Slots || e.usedTokens+need > e.params.MemoryTokens {
		return ErrFull
	}
	e.usedSlots++
	e.usedTokens += need
	return nil
}

func (e *Engine) releaseSlot(req UpstreamRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usedSlots = max(0, e.usedSlots-1)
	e.usedTokens = max(0, e.usedTokens-req.PromptTokens-req.OutputTokens)
}
