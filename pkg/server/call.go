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

// effectQueueSize bounds the effects that wait for the handler of one request. A
// request has one attempt at a time, and each attempt has a few effects.
const effectQueueSize = 64

// activeRequest is one request of a caller while the daemon works on it.
type activeRequest struct {
	id      core.RequestID
	account core.AccountID
	// model and prompt are set for a completion, plain for a plain call.
	model  string
	prompt string
	plain  upstream.PlainRequest

	// effects carries effects from the event loop to the request's handler.
	effects chan router.Effect

	// relayMu is held while an attempt writes to the caller, so that the next
	// attempt starts from exactly what the caller has.
	relayMu sync.Mutex

	mu              sync.Mutex
	startOffsets    map[core.AttemptID]int // tokens that the caller had at its prefill
	cancels         map[core.AttemptID]context.CancelFunc
	deliveredText   strings.Builder // the text that the caller has
	deliveredTokens int             // the number of tokens in it
	complete        bool            // the last token was written
	response        *upstream.PlainReply
}

func newActiveRequest(id core.RequestID) *activeRequest {
	return &activeRequest{
		id:           id,
		effects:      make(chan router.Effect, effectQueueSize),
		cancels:      map[core.AttemptID]context.CancelFunc{},
		startOffsets: map[core.AttemptID]int{},
	}
}

// startAttempt returns a context for an attempt that ends when the attempt is
// cancelled.
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

// appendToken notes a token that the caller has got.
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

// snapshotProgress returns what the caller has, once no earlier attempt writes any more,
// and notes it for the attempt that goes on from there.
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

// isComplete reports whether the caller has the whole answer. Its attempt may have
// been given up all the same, when the end of its stream came too late.
func (r *activeRequest) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// setOffset notes that the caller has the first tokens from an earlier connection.
func (r *activeRequest) setOffset(tokens int) {
	r.mu.Lock()
	r.deliveredTokens = tokens
	r.mu.Unlock()
}

func (r *activeRequest) setResponse(reply *upstream.PlainReply) {
	r.mu.Lock()
	r.response = reply
	r.mu.Unlock()
}

func (r *activeRequest) plainResponse() *upstream.PlainReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.response
}

// activeRequests holds the requests in progress by identifier.
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

// post hands an effect to the handler of a request. It reports false when the
// request has ended or its mailbox is full.
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

// cancelAttempt ends the upstream call of an attempt, whichever request it
// belongs to.
func (c *activeRequests) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
	if active := c.get(id); active != nil {
		active.cancelAttempt(attempt)
	}
}

// httpStatus returns the HTTP status of a refusal.
func httpStatus(refusal *core.Refusal) int {
	if refusal == nil {
		return http.StatusInternalServerError
	}
	return refusal.Code.Status()
}
