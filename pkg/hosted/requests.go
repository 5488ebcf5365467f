package hosted

import (
	"context"
	"sync"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// effectQueueSize bounds the effects that wait for the handler of one request. It is
// ample: a request has one attempt at a time.
const effectQueueSize = 16

// activeRequest is a caller's request in progress.
type activeRequest struct {
	id       core.RequestID
	template UpstreamRequest // the part that is the same for every Upstream
	effects  chan router.Effect
	response *responseWriter
	// readBody reads the body of a request that is expected to be refused, if it is not. nil if the
	// body was read.
	readBody func() ([]byte, *core.Refusal)
	// failureResponse is the last error response of an Upstream, which is passed on if
	// no attempt succeeds.
	failureResponse *bufferedResponse
	// isOpaque is set when the answer that was passed on, or its begin, is no stream of events.
	isOpaque bool
	// completed is set once the caller has been sent a complete response.
	completed bool

	mu      sync.Mutex
	attempt core.AttemptID
	cancel  context.CancelFunc
}

// resumable reports whether a response that has started can be continued at another Upstream.
func (r *activeRequest) resumable() bool { return r.template.LastEventID != "" && !r.isOpaque }

// readUnreadBody reads the body of a request that was expected to be refused and was not. A request that
// has run nowhere is refused if that fails.
func (r *activeRequest) readUnreadBody() *core.Refusal {
	if r.readBody == nil {
		return nil
	}
	body, refusal := r.readBody()
	r.template.Body, r.readBody = body, nil
	return refusal
}

// startAttempt sets the current attempt. Its context ends when the attempt is
// cancelled.
func (r *activeRequest) startAttempt(parent context.Context, id core.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	r.mu.Lock()
	r.attempt = id
	r.cancel = cancel
	r.mu.Unlock()
	return ctx, cancel
}

// activeRequests holds the requests in progress by identifier. It is safe for
// concurrent use.
type activeRequests struct {
	mu   sync.Mutex
	byID map[core.RequestID]*activeRequest
}

func newActiveRequests() *activeRequests {
	return &activeRequests{byID: map[core.RequestID]*activeRequest{}}
}

// add reports false when a request with the same identifier is in progress.
func (r *activeRequests) add(entry *activeRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.byID[entry.id]; exists {
		return false
	}
	r.byID[entry.id] = entry
	return true
}

func (r *activeRequests) get(id core.RequestID) *activeRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func (r *activeRequests) remove(id core.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// enqueue passes an effect to the handler of its request. An effect for a request that
// has ended is dropped.
func (r *activeRequests) enqueue(id core.RequestID, effect router.Effect) {
	entry := r.get(id)
	if entry == nil {
		return
	}
	select {
	case entry.effects <- effect:
	default: // only full when the handler has ended
	}
}

// cancelAttempt cancels an attempt if it is the current one of its request.
func (r *activeRequests) cancelAttempt(id core.RequestID, attempt core.AttemptID) {
	entry := r.get(id)
	if entry == nil {
		return
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.attempt == attempt && entry.cancel != nil {
		entry.cancel()
	}
}
