package router

import (
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// onUpstreamAnswered processes what an answer states about its Upstream.
func (h *hosted) onUpstreamAnswered(now core.Instant, e UpstreamAnswered) {
	for _, event := range h.announcements.Observe(now, e.Source, e.Announcement) {
		if !event.Repeated {
			h.recordAnnouncement(now, e.Source.Upstream, event)
		}
		h.emit(Observe{Observation: Observation{Hosted: &HostedOutcome{Announced: event.Kind}}})
		if event.Kind == announce.EventLeaving || event.Kind == announce.EventStayAway {
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

// replaceDecode places a request on another decode engine if the one that has granted its hold
// wants no requests any more. It reports whether it did, or has ended the request.
func (h *hosted) replaceDecode(now core.Instant, rs *requestState) bool {
	up := rs.hosted.upstream.ID
	if h.announcements.MayUsePromise(now, up) {
		return false
	}
	h.recordWithUpstream(now, "dispatch", "hold given up", rs, up, h.announcements.Describe(now, up))
	rs.hosted.stage = stageRun
	failure := attempts.Failure{Kind: attempts.FailFull, Upstream: up, ConfirmedNotRun: true}
	if !h.allowRetry(now, rs, failure) {
		refusal := refusalWithRetryAfter(core.CodeNoCapacity, "the Upstream wants no requests for a time", h.retryAfter(now, rs))
		h.refuseHosted(now, rs, refusal)
		return true
	}
	h.retryElsewhere(now, rs, failure)
	return true
}

// emitReleaseHold releases a hold, unless its engine wants no requests: the hold expires soon.
func (h *hosted) emitReleaseHold(now core.Instant, release ReleaseHold) {
	if h.announcements.MayUsePromise(now, release.Upstream) {
		h.emit(release)
	}
}

// releaseUnusedHold releases the hold of a request whose decode was not sent.
func (h *hosted) releaseUnusedHold(now core.Instant, rs *requestState) {
	hr := rs.hosted
	if hr.holdID != "" {
		h.emitReleaseHold(now, ReleaseHold{Upstream: hr.upstream.ID, Addr: hr.upstream.Addr, Hold: hr.holdID})
		hr.holdID = ""
	}
}

// retryAfter returns the Retry-After of a request that the Upstreams have refused.
func (h *hosted) retryAfter(now core.Instant, rs *requestState) time.Duration {
	service := rs.hosted.service
	return h.dispatch.RetryAfter(now, service.Name, service.Engine != nil, refusedRetryAfter)
}

// maxDescribedUpstreams bounds the Upstreams in a log line.
const maxDescribedUpstreams = 4

// unavailable describes the Upstreams of a service that are not used because of what they state
// about themselves, for the log.
func (h *hosted) unavailable(now core.Instant, service core.ServiceName) string {
	found := h.announcements.DescribeService(now, service, maxDescribedUpstreams)
	if len(found) == 0 {
		return ""
	}
	return " unavailable=[" + strings.Join(found, "; ") + "]"
}
