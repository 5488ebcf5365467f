package hosted

import (
	"context"
	"sync"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// effectQueueSize bounds the effects that wait for the handler of one request, which
// has one call at a time.
const effectQueueSize = 16

// activeRequest is one request of a caller while the daemon works on it.
type activeRequest struct {
	id      core.RequestID
	template UpstreamRequest // what every Upstream gets
	effects chan router.Effect
	response  *responseWriter
	// failureResponse is a failure that an Upstream answered, to be passed on if nothing
	// better comes.
	failureResponse *bufferedResponse

	mu      sync.Mutex
	attempt core.AttemptID
	cancel  context.CancelFunc
}

// startAttempt returns a context that ends when the attempt is cancelled.
func (c *activeRequest) startAttempt(parent context.Context, id core.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	c.mu.Lock()
	c.attempt = id
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, cancel
}

// activeRequests holds the requests in progress by identifier.
type activeRequests struct {
	mu   sync.Mutex
	byID map[core.RequestID]*activeRequest
}

func newActiveRequests() *activeRequests { return &activeRequests{byID: map[core.RequestID]*activeRequest{}} }

// add reports false when a request with the identifier is in progress.
func (c *activeRequests) add(entry *activeRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, exists := c.byID[entry.id]; exists {
		return false
	}
	c.byID[entry.id] = entry
	return true
}

func (c *activeRequests) get(id core.RequestID) *activeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *activeRequests) remove(id core.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// enqueue hands an effect to the handler of a request. An effect for a request that
// has ended here has no receiver any more.
func (c *activeRequests) enqueue(id core.RequestID, effect router.Effect) {
	entry := c.get(id)
	if entry == nil {
		return
	}
	select {
	case entry.effects <- effect:
	default: // the handler has ended; a request has fewer effects at a time
	}
}

// cancelAttempt ends the call of an attempt.
func (c *activeRequests) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
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
