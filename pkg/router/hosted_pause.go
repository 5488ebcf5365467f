package router

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// confirmationTimeout bounds the wait for the store after a pause of the process. A read takes
// two round trips between regions at most; an Instance that can't reach the store serves by
// what it knew before.
const confirmationTimeout = time.Second

// pendingConfirmation is the state of an Instance that has been paused and has not read the
// store since: keys may have been withdrawn, and Upstreams may have left.
type pendingConfirmation struct {
	since     core.Instant // end of the pause, core.Never without one
	routing   bool         // has been read since
	upstreams bool
	requests  []Request // that have arrived since
}

// onPaused discards what was allowed before a pause and has the store read again.
func (h *hosted) onPaused(now core.Instant) {
	h.recordEvent(now, "server", "paused", "")
	h.quota.OnPaused(now)
	h.announcements.Rates.OnPaused(now)
	h.pending = pendingConfirmation{since: now, requests: h.pending.requests}
	h.emit(RefreshState{})
	h.onFollowPaused(now)
}

// confirmationEnds returns the instant at which requests no longer wait for the store.
func (h *hosted) confirmationEnds() core.Instant { return h.pending.since.Add(confirmationTimeout) }

// awaitConfirmation reports whether a request has to wait until the store has been read.
func (h *hosted) awaitConfirmation(now core.Instant, q Request) bool {
	if h.pending.since == core.Never || now >= h.confirmationEnds() {
		return false
	}
	h.pending.requests = append(h.pending.requests, q)
	return true
}

// onStateRead processes a read of the store that began at readAt.
func (h *hosted) onStateRead(now, readAt core.Instant, confirmed *bool) {
	if h.pending.since == core.Never || readAt < h.pending.since {
		return
	}
	*confirmed = true
	if h.pending.routing && h.pending.upstreams {
		h.endConfirmation(now)
	}
}

// endConfirmation admits the requests that have waited for the store.
func (h *hosted) endConfirmation(now core.Instant) {
	requests := h.pending.requests
	h.pending = pendingConfirmation{since: core.Never}
	for _, q := range requests {
		h.onRequestArrived(now, q)
	}
}

// abandonPending removes a request that waits for the store and whose caller has
// disconnected.
func (h *hosted) abandonPending(id core.RequestID) {
	before := len(h.pending.requests)
	h.pending.requests = slices.DeleteFunc(h.pending.requests, func(q Request) bool { return q.ID == id })
	if len(h.pending.requests) < before {
		h.emit(RequestAbandoned{Request: id})
	}
}
