package router

import (
	"fmt"
	"strconv"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// observeLoad takes over the load that an answer states.
func (h *hosted) observeLoad(now core.Instant, e UpstreamAnswered) {
	load := e.Announcement.Load
	if h.paces.ObserveLoad(now, e.Source.Upstream, e.Source.Addr, e.Source.SentAt, load) {
		h.dispatch.OnLoad(now, e.Source.Upstream, load)
	}
}

// observeFirstEvent takes over the time to the first event of a decode whose prefill was complete.
func (h *hosted) observeFirstEvent(now core.Instant, rs *requestState) {
	if rs.hosted.service.Engine != nil && rs.kv != "" {
		h.dispatch.ObserveDecode(now, rs.request.ID, rs.hosted.runStartedAt)
	}
}

// observeCompletion takes over the duration of a plain request. That of a stream is up to its
// length, and that of a failure says nothing about the next request.
func (h *hosted) observeCompletion(now core.Instant, rs *requestState, e ResponseCompleted) {
	if rs.hosted.service.Engine == nil && !rs.hosted.route.Streaming && e.Status < 400 {
		h.dispatch.ObservePlain(now, rs.request.ID)
	}
}

// recordRefuted logs a prefill engine that did not hold what it was expected to, at most one a second.
func (h *hosted) recordRefuted(now core.Instant) {
	if r, found := h.heldPrompts.Refuted(now); found {
		h.recordUpstreamEvent(now, "prompts", "not held", r.Upstream, fmt.Sprintf("tokens=%d trust=%.2f others=%d", r.Tokens, r.Trust, r.Others))
	}
}

// recordPaces logs which Upstreams have turned slow or usual again.
func (h *hosted) recordPaces(now core.Instant) {
	turned, leftOut := h.paces.Transitions(now)
	for _, t := range turned {
		kind := "usual again"
		if t.Slow {
			kind = "turned slow"
		}
		h.recordUpstreamEvent(now, "pace", kind, t.Upstream, t.Detail)
	}
	if leftOut > 0 {
		h.recordEvent(now, "pace", "more changes", "upstreams="+strconv.Itoa(leftOut))
	}
}
