package engine

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// state is the state that a crash discards. Server.mu guards it, except for done.
type state struct {
	server     *Server
	generation uint64
	done       chan struct{}

	// Prefill role.
	kvCaches     map[upstream.KVHandle]*kvCache
	nextKV       uint64
	cache        prefixCache
	prefillQueue prefillQueue
	// prefills holds the cancel functions of the queued and running prefills.
	prefills       map[string]context.CancelFunc
	busy           bool
	runningPrefill string

	// Decode role.
	attempts     map[string]*attempt
	decodeQueue  []*attempt // by priority, then by arrival
	usedSlots    int
	freeBlocks   int
	linkFreeAt   time.Time
	batchRunning bool

	// current is the state that is served, desired that of the most recent order.
	current upstream.EngineState
	desired upstream.EngineState

	reports []upstream.LoadReport
}

func newState(s *Server, generation uint64) *state {
	st := &state{
		server:     s,
		generation: generation,
		done:       make(chan struct{}),
		kvCaches:   make(map[upstream.KVHandle]*kvCache),
		cache:      newPrefixCache(s.opts),
		prefills:   make(map[string]context.CancelFunc),
		attempts:   make(map[string]*attempt),
		freeBlocks: s.opts.Blocks,
		current:    s.opts.InitialState,
		desired:    s.opts.InitialState,
	}
	st.recordLoad(s.opts.Clock.Now())
	return st
}

// stop ends all handlers and goroutines of this state.
func (st *state) stop() {
	if !st.stopped() {
		close(st.done)
	}
}

func (st *state) stopped() bool {
	select {
	case <-st.done:
		return true
	default:
		return false
	}
}

// running returns the attempts that hold memory, sorted.
func (st *state) running() []string {
	ids := make([]string, 0, len(st.attempts)+1)
	for id, a := range st.attempts {
		if a.blocks > 0 {
			ids = append(ids, id)
		}
	}
	if st.runningPrefill != "" {
		ids = append(ids, st.runningPrefill)
	}
	slices.Sort(ids)
	return ids
}

// kvCache is the result of a prefill. Its handle expires after KVTTL.
type kvCache struct {
	// Seed determines the output.
	Seed      uint64 `json:"seed"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
	Bytes     int64  `json:"bytes"`
	expiresAt time.Time
}

// OutputToken returns output token i for a prompt. It depends only on the prompt and i, so
// that a test can check a continuation at another engine.
func OutputToken(prompt string, i int) string { return tokenText(promptSeed(prompt), i) }

// Output returns the text of the first n output tokens for a prompt.
func Output(prompt string, n int) string {
	text := ""
	for i := range n {
		text += OutputToken(prompt, i)
	}
	return text
}

func promptSeed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

func tokenText(seed uint64, i int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "." + strconv.Itoa(i))
	return " w" + strconv.FormatUint(sum%100_000, 36)
}

func blocksFor(tokens int) int { return max(1, (tokens+core.BlockTokens-1)/core.BlockTokens) }
