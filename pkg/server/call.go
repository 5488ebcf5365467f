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
func (c *activeRequest) startAttempt(parent context.Context, id core.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	c.mu.Lock()
	if earlier := c.cancels[id]; earlier != nil {
		defer earlier()
	}
	c.cancels[id] = cancel
	c.mu.Unlock()
	return ctx, cancel
}

func (c *activeRequest) cancelAttempt(id core.AttemptID) {
	c.mu.Lock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// appendToken notes a token that the caller has got.
func (c *activeRequest) appendToken(token upstream.Token) {
	c.mu.Lock()
	c.deliveredText.WriteString(token.Text)
	c.deliveredTokens++
	c.complete = token.Done
	c.mu.Unlock()
}

func (c *activeRequest) delivered() (text string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deliveredText.String(), c.deliveredTokens
}

// snapshotProgress returns what the caller has, once no earlier attempt writes any more,
// and notes it for the attempt that goes on from there.
func (c *activeRequest) snapshotProgress(id core.AttemptID) (text string, tokens int) {
	c.relayMu.Lock()
	defer c.relayMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startOffsets[id] = c.deliveredTokens
	return c.deliveredText.String(), c.deliveredTokens
}

func (c *activeRequest) startOffset(id core.AttemptID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startOffsets[id]
}

// isComplete reports whether the caller has the whole answer. Its attempt may have
// been given up all the same, when the end of its stream came too late.
func (c *activeRequest) isComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// setOffset notes that the caller has the first tokens from an earlier connection.
func (c *activeRequest) setOffset(tokens int) {
	c.mu.Lock()
	c.deliveredTokens = tokens
	c.mu.Unlock()
}

func (c *activeRequest) setResponse(reply *upstream.PlainReply) {
	c.mu.Lock()
	c.response = reply
	c.mu.Unlock()
}

func (c *activeRequest) plainResponse() *upstream.PlainReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response
}

// activeRequests holds the requests in progress by identifier.
type activeRequests struct {
	mu   sync.Mutex
	byID map[core.RequestID]*activeRequest
}

func newActiveRequests() *activeRequests {
	return &activeRequests{byID: map[core.RequestID]*activeRequest{}}
}

func (c *activeRequests) add(entry *activeRequest) {
	c.mu.Lock()
	c.byID[entry.id] = entry
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
	entry := c.get(id)
	if entry == nil {
		return false
	}
	select {
	case entry.effects <- effect:
		return true
	default:
		return false
	}
}

// cancelAttempt ends the upstream call of an attempt, whichever request it
// belongs to.
func (c *activeRequests) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
	if entry := c.get(id); entry != nil {
		entry.cancelAttempt(attempt)
	}
}

// httpStatus returns the HTTP status of a refusal.
func httpStatus(refusal *core.Refusal) int {
	if refusal == nil {
		return http.StatusInternalServerError
	}
	return refusal.Code.Status()
}
