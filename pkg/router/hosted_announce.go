package router

import (
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// onUpstreamAnswered processes what an answer states about its Upstream.
func (h *hosted) onUpstreamAnswered(now core.Instant, e UpstreamAnswered) {
	h.onColdStatement(now, e.Source, e.Announcement.ColdFor)
	h.observeLoad(now, e)
	for _, event := range h.announcements.Observe(now, e.Source, e.Announcement) {
		if !event.Repeated {
			h.recordAnnouncement(now, e.Source.Upstream, event)
		}
		h.emit(Observe{Observation: Observation{Hosted: &HostedOutcome{Announced: event.Kind}}})
		if event.Kind == announce.EventLeaving || event.Kind == announce.EventBackoff {
			h.applyDispatch(now, h.dispatch.OnAnnouncement(now, e.Source.Upstream))
		}
	}
}

// recordAnnouncement logs a change of what is known of an Upstream.
func (h *hosted) recordAnnouncement(now core.Instant, up core.UpstreamID, event announce.Event) {
	component := "announce"
	if event.Kind == announce.EventRate {
		component = "limit"
	}
	h.recordUpstreamEvent(now, component, string(event.Kind), up, event.Detail)
}

// onPeerAnnouncements processes what a peer has heard of Upstreams.
func (h *hosted) onPeerAnnouncements(now core.Instant, from core.InstanceID, leaving map[core.UpstreamID]announce.Process) {
	for _, id := range h.announcements.OnPeerLeavingReports(now, leaving) {
		h.recordAnnouncement(now, id, announce.Event{Kind: announce.EventLeaving, Detail: "from=" + string(from)})
		h.applyDispatch(now, h.dispatch.OnAnnouncement(now, id))
	}
}

// retryAfter returns the Retry-After of a request that the Upstreams have refused.
func (h *hosted) retryAfter(now core.Instant, rs *requestState) time.Duration {
	service := rs.hosted.service
	return h.dispatch.RetryAfter(now, service.Name, service.Engine != nil, rs.hosted.regions(), refusedRetryAfter)
}

// maxDescribedUpstreams bounds the Upstreams in a log line.
const maxDescribedUpstreams = 4

// unavailable describes the Upstreams of a service that are not used because of what they state
// about themselves, for the log.
func (h *hosted) unavailable(now core.Instant, service core.ServiceName) string {
	found := h.announcements.DescribeService(now, service, maxDescribedUpstreams)
	found = append(found, h.warmup.DescribeService(now, service, maxDescribedUpstreams-len(found))...)
	if len(found) == 0 {
		return ""
	}
	return " unavailable=[" + strings.Join(found, "; ") + "]"
}
