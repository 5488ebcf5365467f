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
	// ErrKVGone means that the KV cache or the hold does not exist or has expired.
	ErrKVGone = errors.New("KV cache or hold does not exist")
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
	// EventEvery is the interval between two events of a stream.
	EventEvery time.Duration
	// KVKept is the TTL of a KV cache that no decode engine fetches.
	KVKept time.Duration
}

// Engine is a model engine with holds and KV caches. It is safe for concurrent use.
type Engine struct {
	params  EngineParams
	referee *Referee

	mu           sync.Mutex
	lastID       int
	usedSlots    int
	usedTokens   int
	holds        map[string]hold
	caches       map[string]kvCache
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

// NewEngine returns an idle engine that reports arrivals and executions to the referee.
func NewEngine(p EngineParams, r *Referee) *Engine {
	return &Engine{params: p, referee: r, holds: map[string]hold{}, caches: map[string]kvCache{}, crashed: make(chan struct{})}
}

// ID returns the name of the engine.
func (e *Engine) ID() string { return e.params.ID }

// Leave records that the engine has announced that it is leaving.
func (e *Engine) Leave() {
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
}

// ErrCrashed means that the engine crashed during the request, which may have run.
var ErrCrashed = errors.New("engine has crashed")

func (e *Engine) removeExpired(now time.Time) {
	for id, h := range e.holds {
		if now.After(h.expiresAt) {
			e.releaseHold(id, h)
		}
	}
	for id, c := range e.caches {
		if now.After(c.expiresAt) {
			delete(e.caches, id)
		}
	}
}

func (e *Engine) releaseHold(id string, h hold) {
	delete(e.holds, id)
	e.usedSlots--
	e.usedTokens -= h.tokens
}

// TakeHold reserves a slot and memory until the term has passed. It returns the
// identifier of the hold, or ErrFull.
func (e *Engine) TakeHold(tokens int, term time.Duration) (string, error) {
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

// DropHold releases a hold. It reports whether the hold existed.
func (e *Engine) DropHold(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, exists := e.holds[id]
	if exists {
		e.releaseHold(id, h)
	}
	return exists
}

// DropKV frees a KV cache. It reports whether the KV cache existed.
func (e *Engine) DropKV(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, exists := e.caches[id]
	delete(e.caches, id)
	return exists
}

// Held returns the memory that is held or in use, in tokens.
func (e *Engine) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	return e.usedTokens
}

// Prefill processes a prompt and returns the identifier of its KV cache.
func (e *Engine) Prefill(ctx context.Context, run Run) (string, error) {
	if !e.params.Prefill {
		return "", ErrWrongStage
	}
	e.recordArrival(run)
	crashed := e.crashSignal()
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-crashed:
		return "", ErrCrashed
	case <-time.After(time.Duration(float64(run.PromptTokens) / e.params.PrefillTokensPerSecond * float64(time.Second))):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	id := fmt.Sprintf("kv-%d", e.lastID)
	e.caches[id] = kvCache{request: run.Request, expiresAt: time.Now().Add(e.params.KVKept)}
	return id, nil
}

// TakeKV removes a KV cache for its transfer to a decode engine. It reports a violation
// if the KV cache belongs to another request.
func (e *Engine) TakeKV(id, request string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	c, exists := e.caches[id]
	if !exists {
		return ErrKVGone
	}
	delete(e.caches, id)
	if c.request != request {
		e.referee.Report("request %s continues from the KV cache of request %s", request, c.request)
	}
	return nil
}

// Decode emits the events of a response that follow event number after, up to last. It
// consumes the hold, if one is given.
func (e *Engine) Decode(ctx context.Context, run Run, holdID string, after, last int, emit func(event int) error) error {
	if e.params.Prefill {
		return ErrWrongStage
	}
	e.recordArrival(run)
	if err := e.acquireSlot(run, holdID); err != nil {
		return err
	}
	defer e.releaseSlot(run)
	e.referee.Ran(e.params.ID, run)
	crashed := e.crashSignal()
	for event := after + 1; event <= last; event++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-crashed:
			return ErrCrashed
		case <-time.After(e.params.EventEvery):
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

func (e *Engine) recordArrival(run Run) {
	e.mu.Lock()
	leaving := e.leavingSince
	e.mu.Unlock()
	e.referee.Arrived(e.params.ID, run, leaving)
}

func (e *Engine) acquireSlot(run Run, holdID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	if h, exists := e.holds[holdID]; exists {
		e.releaseHold(holdID, h)
	} else if holdID != "" {
		return ErrKVGone
	}
	need := run.PromptTokens + run.OutputTokens
	if e.usedSlots >= e.params.Slots || e.usedTokens+need > e.params.MemoryTokens {
		return ErrFull
	}
	e.usedSlots++
	e.usedTokens += need
	return nil
}

func (e *Engine) releaseSlot(run Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usedSlots = max(0, e.usedSlots-1)
	e.usedTokens = max(0, e.usedTokens-run.PromptTokens-run.OutputTokens)
}
