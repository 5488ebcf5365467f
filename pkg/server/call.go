package server

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// effectQueueSize is the capacity of a request's effect queue. A request has one
// attempt at a time, and each attempt has a few effects.
const effectQueueSize = 64

// activeRequest is the state of a caller's request in progress.
type activeRequest struct {
	id      core.RequestID
	account core.AccountID
	// model and prompt are set for a completion, plain for a plain request.
	model  string
	prompt string
	plain  upstream.PlainRequest

	// effects carries effects from the event loop to the handler of the request.
	effects chan router.Effect

	// relayMu is locked while an attempt writes to the caller, so that the next
	// attempt starts exactly after the last delivered token.
	relayMu sync.Mutex

	mu              sync.Mutex
	startOffsets    map[core.AttemptID]int // tokens delivered before the prefill of the attempt
	cancels         map[core.AttemptID]context.CancelFunc
	deliveredText   strings.Builder // text that was sent to the caller
	deliveredTokens int             // number of its tokens, with those of an earlier connection
	complete        bool            // the last token was delivered
	response        *upstream.PlainResponse
}

func newActiveRequest(id core.RequestID) *activeRequest {
	return &activeRequest{
		id:           id,
		effects:      make(chan router.Effect, effectQueueSize),
		cancels:      map[core.AttemptID]context.CancelFunc{},
		startOffsets: map[core.AttemptID]int{},
	}
}

// startAttempt returns a context that ends when the attempt is cancelled. The
// context of an earlier stage of the same attempt is cancelled.
func (r *activeRequest) startAttempt(parent context.Context, id core.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	r.mu.Lock()
	if earlier := r.cancels[id]; earlier != nil {
		defer earlier()
	}
	r.cancels[id] = cancel
	r.mu.Unlock()
	return ctx, cancel
}

func (r *activeRequest) cancelAttempt(id core.AttemptID) {
	r.mu.Lock()
	cancel := r.cancels[id]
	delete(r.cancels, id)
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// appendToken records a token that was delivered to the caller.
func (r *activeRequest) appendToken(token upstream.Token) {
	r.mu.Lock()
	r.deliveredText.WriteString(token.Text)
	r.deliveredTokens++
	r.complete = token.Done
	r.mu.Unlock()
}

func (r *activeRequest) delivered() (text string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deliveredText.String(), r.deliveredTokens
}

// snapshotProgress waits until no earlier attempt writes to the caller, then
// returns what was delivered and records it as the start of the attempt.
func (r *activeRequest) snapshotProgress(id core.AttemptID) (text string, tokens int) {
	r.relayMu.Lock()
	defer r.relayMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startOffsets[id] = r.deliveredTokens
	return r.deliveredText.String(), r.deliveredTokens
}

func (r *activeRequest) startOffset(id core.AttemptID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startOffsets[id]
}

// isComplete reports whether the complete response was delivered. The Router may
// still have abandoned the attempt, if the end of the stream arrived too late.
func (r *activeRequest) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// setOffset records the number of tokens that the caller received on an earlier
// connection.
func (r *activeRequest) setOffset(tokens int) {
	r.mu.Lock()
	r.deliveredTokens = tokens
	r.mu.Unlock()
}

func (r *activeRequest) setResponse(response *upstream.PlainResponse) {
	r.mu.Lock()
	r.response = response
	r.mu.Unlock()
}

func (r *activeRequest) plainResponse() *upstream.PlainResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.response
}

// activeRequests holds the requests in progress by ID.
type activeRequests struct {
	mu   sync.Mutex
	byID map[core.RequestID]*activeRequest
}

func newActiveRequests() *activeRequests {
	return &activeRequests{byID: map[core.RequestID]*activeRequest{}}
}

func (c *activeRequests) add(active *activeRequest) {
	c.mu.Lock()
	c.byID[active.id] = active
	c.mu.Unlock()
}

func (c *activeRequests) get(id core.RequestID) *activeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *activeRequests) remove(id core.RequestID) {
	c.mu.Lock()
	delete(c.byID, id)
	c.mu.Unlock()
}

// post sends an effect to the handler of a request. It returns false when the
// request has ended or its effect queue is full.
func (c *activeRequests) post(id core.RequestID, effect router.Effect) bool {
	active := c.get(id)
	if active == nil {
		return false
	}
	select {
	case active.effects <- effect:
		return true
	default:
		return false
	}
}

// cancelAttempt cancels the Upstream call of an attempt. It does nothing when the
// request has ended.
func (c *activeRequests) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
	if active := c.get(id); active != nil {
		active.cancelAttempt(attempt)
	}
}

// httpStatus returns the HTTP status of a refusal, 500 for nil.
func httpStatus(refusal *core.Refusal) int {
	if refusal == nil {
		return http.StatusInternalServerError
	}
	return refusal.Code.Status()
}
