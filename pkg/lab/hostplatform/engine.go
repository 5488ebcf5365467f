package hostplatform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Errors of an Engine. None of them says that the request has run.
var (
	// ErrFull means that the engine has no place.
	ErrFull = errors.New("engine is full")
	// ErrWrongStage means that the engine does not serve this stage.
	ErrWrongStage = errors.New("engine has another stage")
	// ErrKVGone means that the KV cache or the place is no longer held.
	ErrKVGone = errors.New("kv cache is gone")
)

// EngineParams describe an Engine.
type EngineParams struct {
	ID string
	// Prefill engines read prompts, others produce answers.
	Prefill      bool
	Slots        int
	MemoryTokens int
	// PrefillTokensPerSecond is the speed of a prefill.
	PrefillTokensPerSecond float64
	// EventEvery is the time between two events of a stream.
	EventEvery time.Duration
	// KVKept is the time for which a KV cache is kept that nobody fetches.
	KVKept time.Duration
}

// Engine is a model engine that holds places and KV caches. It is safe for
// concurrent use.
type Engine struct {
	params  EngineParams
	referee *Referee

	mu      sync.Mutex
	next    int
	slots   int
	tokens  int
	holds   map[string]hold
	caches  map[string]cache
	leaving time.Time
	crashed chan struct{}
}

type hold struct {
	tokens int
	until  time.Time
}

type cache struct {
	request string
	until   time.Time
}

// NewEngine returns an idle engine that reports to the referee.
func NewEngine(p EngineParams, r *Referee) *Engine {
	return &Engine{params: p, referee: r, holds: map[string]hold{}, caches: map[string]cache{}, crashed: make(chan struct{})}
}

// ID returns the name of the engine.
func (e *Engine) ID() string { return e.params.ID }

// Leave says that the engine has announced that it leaves.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = time.Now()
}

// Crash ends all work without an answer.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.slots, e.tokens = 0, 0
	clear(e.holds)
	clear(e.caches)
}

// ErrCrashed means that the engine was lost while it worked.
var ErrCrashed = errors.New("engine has crashed")

func (e *Engine) sweep(now time.Time) {
	for id, h := range e.holds {
		if now.After(h.until) {
			e.release(id, h)
		}
	}
	for id, c := range e.caches {
		if now.After(c.until) {
			delete(e.caches, id)
		}
	}
}

func (e *Engine) release(id string, h hold) {
	delete(e.holds, id)
	e.slots--
	e.tokens -= h.tokens
}

// TakeHold reserves a slot and memory for a while.
func (e *Engine) TakeHold(tokens int, term time.Duration) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.sweep(now)
	if e.slots >= e.params.Slots || e.tokens+tokens > e.params.MemoryTokens {
		return "", ErrFull
	}
	e.next++
	id := fmt.Sprintf("hold-%d", e.next)
	e.holds[id] = hold{tokens: tokens, until: now.Add(term)}
	e.slots++
	e.tokens += tokens
	return id, nil
}

// DropHold releases a place. It reports false when there is none.
func (e *Engine) DropHold(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, held := e.holds[id]
	if held {
		e.release(id, h)
	}
	return held
}

// DropKV frees a KV cache. It reports false when there is none.
func (e *Engine) DropKV(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, held := e.caches[id]
	delete(e.caches, id)
	return held
}

// Held returns the tokens of memory that are held or in use.
func (e *Engine) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(time.Now())
	return e.tokens
}

// Prefill reads a prompt and returns the name of its KV cache.
func (e *Engine) Prefill(ctx context.Context, run Run) (string, error) {
	if !e.params.Prefill {
		return "", ErrWrongStage
	}
	e.arrived(run)
	crashed := e.crash()
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case <-crashed:
		return "", ErrCrashed
	case <-time.After(time.Duration(float64(run.PromptTokens) / e.params.PrefillTokensPerSecond * float64(time.Second))):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	id := fmt.Sprintf("kv-%d", e.next)
	e.caches[id] = cache{request: run.Request, until: time.Now().Add(e.params.KVKept)}
	return id, nil
}

// TakeKV hands a KV cache to the engine that decodes.
func (e *Engine) TakeKV(id, request string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(time.Now())
	c, held := e.caches[id]
	if !held {
		return ErrKVGone
	}
	delete(e.caches, id)
	if c.request != request {
		e.referee.Report("request %s goes on from the KV cache of request %s", request, c.request)
	}
	return nil
}

// Decode produces the events of an answer after an event number, up to last. A
// place that is held is used up.
func (e *Engine) Decode(ctx context.Context, run Run, holdID string, after, last int, emit func(event int) error) error {
	if e.params.Prefill {
		return ErrWrongStage
	}
	e.arrived(run)
	if err := e.occupy(run, holdID); err != nil {
		return err
	}
	defer e.vacate(run)
	e.referee.Ran(e.params.ID, run)
	crashed := e.crash()
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

func (e *Engine) crash() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) arrived(run Run) {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	e.referee.Arrived(e.params.ID, run, leaving)
}

func (e *Engine) occupy(run Run, holdID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(time.Now())
	if h, held := e.holds[holdID]; held {
		e.release(holdID, h)
	} else if holdID != "" {
		return ErrKVGone
	}
	need := run.PromptTokens + run.OutputTokens
	if e.slots >= e.params.Slots || e.tokens+need > e.params.MemoryTokens {
		return ErrFull
	}
	e.slots++
	e.tokens += need
	return nil
}

func (e *Engine) vacate(run Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slots = max(0, e.slots-1)
	e.tokens = max(0, e.tokens-run.PromptTokens-run.OutputTokens)
}
