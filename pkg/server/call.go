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

// mailboxSize bounds the effects that wait for the handler of one request. A
// request has one attempt at a time, and each attempt has a few effects.
const mailboxSize = 64

// call is one request of a caller while the daemon works on it.
type call struct {
	id      core.RequestID
	account core.AccountID
	// model and prompt are set for a completion, plain for a plain call.
	model  string
	prompt string
	plain  upstream.PlainRequest

	// mailbox carries effects from the event loop to the request's handler.
	mailbox chan router.Effect

	// relaying is held while an attempt writes to the caller, so that the next
	// attempt starts from exactly what the caller has.
	relaying sync.Mutex

	mu      sync.Mutex
	bases   map[core.AttemptID]int // tokens that the caller had at its prefill
	cancels map[core.AttemptID]context.CancelFunc
	emitted strings.Builder // the text that the caller has
	tokens  int             // the number of tokens in it
	whole   bool            // the last token was written
	reply   *upstream.PlainReply
}

func newCall(id core.RequestID) *call {
	return &call{
		id:      id,
		mailbox: make(chan router.Effect, mailboxSize),
		cancels: map[core.AttemptID]context.CancelFunc{},
		bases:   map[core.AttemptID]int{},
	}
}

// begin returns a context for an attempt that ends when the attempt is
// cancelled.
func (c *call) begin(parent context.Context, id core.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	c.mu.Lock()
	if earlier := c.cancels[id]; earlier != nil {
		defer earlier()
	}
	c.cancels[id] = cancel
	c.mu.Unlock()
	return ctx, cancel
}

func (c *call) cancel(id core.AttemptID) {
	c.mu.Lock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// append notes a token that the caller has got.
func (c *call) append(token upstream.Token) {
	c.mu.Lock()
	c.emitted.WriteString(token.Text)
	c.tokens++
	c.whole = token.Done
	c.mu.Unlock()
}

func (c *call) progress() (text string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.emitted.String(), c.tokens
}

// startFrom returns what the caller has, once no earlier attempt writes any more,
// and notes it for the attempt that goes on from there.
func (c *call) startFrom(id core.AttemptID) (text string, tokens int) {
	c.relaying.Lock()
	defer c.relaying.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bases[id] = c.tokens
	return c.emitted.String(), c.tokens
}

func (c *call) baseOf(id core.AttemptID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bases[id]
}

// isWhole reports whether the caller has the whole answer. Its attempt may have
// been given up all the same, when the end of its stream came too late.
func (c *call) isWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole
}

// skip notes that the caller has the first tokens from an earlier connection.
func (c *call) skip(tokens int) {
	c.mu.Lock()
	c.tokens = tokens
	c.mu.Unlock()
}

func (c *call) setReply(reply *upstream.PlainReply) {
	c.mu.Lock()
	c.reply = reply
	c.mu.Unlock()
}

func (c *call) takeReply() *upstream.PlainReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reply
}

// calls holds the requests in progress by identifier.
type calls struct {
	mu   sync.Mutex
	byID map[core.RequestID]*call
}

func newCalls() *calls { return &calls{byID: map[core.RequestID]*call{}} }

func (c *calls) add(entry *call) {
	c.mu.Lock()
	c.byID[entry.id] = entry
	c.mu.Unlock()
}

func (c *calls) get(id core.RequestID) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *calls) remove(id core.RequestID) {
	c.mu.Lock()
	delete(c.byID, id)
	c.mu.Unlock()
}

// post hands an effect to the handler of a request. It reports false when the
// request has ended or its mailbox is full.
func (c *calls) post(id core.RequestID, effect router.Effect) bool {
	entry := c.get(id)
	if entry == nil {
		return false
	}
	select {
	case entry.mailbox <- effect:
		return true
	default:
		return false
	}
}

// cancelAttempt ends the upstream call of an attempt, whichever request it
// belongs to.
func (c *calls) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
	if entry := c.get(id); entry != nil {
		entry.cancel(attempt)
	}
}

// statusOf returns the HTTP status of a refusal.
func statusOf(refusal *core.Refusal) int {
	if refusal == nil {
		return http.StatusInternalServerError
	}
	return refusal.Code.Status()
}
