package hosted

import (
	"context"
	"sync"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// mailboxSize bounds the effects that wait for the handler of one request, which
// has one call at a time.
const mailboxSize = 16

// call is one request of a caller while the daemon works on it.
type call struct {
	id      core.RequestID
	forward UpstreamRequest // what every Upstream gets
	mailbox chan router.Effect
	answer  *answer
	// kept is a failure that an Upstream answered, to be passed on if nothing
	// better comes.
	kept *keptAnswer

	mu      sync.Mutex
	attempt core.AttemptID
	cancel  context.CancelFunc
}

// begin returns a context that ends when the attempt is cancelled.
func (c *call) begin(parent context.Context, id core.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	c.mu.Lock()
	c.attempt = id
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, cancel
}

// calls holds the requests in progress by identifier.
type calls struct {
	mu   sync.Mutex
	byID map[core.RequestID]*call
}

func newCalls() *calls { return &calls{byID: map[core.RequestID]*call{}} }

// add reports false when a request with the identifier is in progress.
func (c *calls) add(entry *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, exists := c.byID[entry.id]; exists {
		return false
	}
	c.byID[entry.id] = entry
	return true
}

func (c *calls) get(id core.RequestID) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *calls) remove(id core.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// post hands an effect to the handler of a request. An effect for a request that
// has ended here has no receiver any more.
func (c *calls) post(id core.RequestID, effect router.Effect) {
	entry := c.get(id)
	if entry == nil {
		return
	}
	select {
	case entry.mailbox <- effect:
	default: // the handler has ended; a request has fewer effects at a time
	}
}

// cancelAttempt ends the call of an attempt.
func (c *calls) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
	entry := c.get(id)
	if entry == nil {
		return
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.attempt == attempt && entry.cancel != nil {
		entry.cancel()
	}
}
