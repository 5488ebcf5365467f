package router

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/poison"
)

// poisonRetryAfter is the Retry-After of a request that crashes Upstreams. Only an operator
// or a new version of the Upstreams can change that.
const poisonRetryAfter = 30 * time.Second

func poisonRefusal(cause string) *core.Refusal {
	return refusalWithRetryAfter(core.CodeNoCapacity, "requests like this one have crashed the Upstreams that ran them: "+cause, poisonRetryAfter)
}

// fingerprintPart returns the fingerprint of a request as its only part, for h.crashing.
func (rs *requestState) fingerprintPart() []core.PromptPart {
	return []core.PromptPart{core.PromptPart(rs.request.Fingerprint[:])}
}

// process returns the process of the Upstream that runs a request.
func (hr *hostedRequest) process() poison.Process {
	return poison.Process{ID: hr.upstream.ID, Born: hr.upstream.Born}
}

// findPoison reports whether a request crashes Upstreams, and by which of its parts.
func (h *hosted) findPoison(now core.Instant, rs *requestState) (string, bool) {
	if _, found := h.crashing.Find(now, rs.fingerprintPart()); found {
		return "fingerprint=" + hex.EncodeToString(rs.request.Fingerprint[:]), true
	}
	part, found := h.poison.Find(now, rs.request.SharedParts)
	return "part=" + string(part), found
}

// refusePoison refuses a request that crashes Upstreams. It reports whether it did.
func (h *hosted) refusePoison(now core.Instant, rs *requestState) bool {
	cause, found := h.findPoison(now, rs)
	if found {
		h.record(now, "request", "poison", rs, cause)
		h.releaseKV(now, rs)
		h.refuseHosted(now, rs, poisonRefusal(cause))
	}
	return found
}

// refuseWaitingPoison refuses the waiting requests that crash Upstreams.
func (h *hosted) refuseWaitingPoison(now core.Instant) {
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		if rs := h.requests[id]; rs != nil && rs.hosted.stage == stageWaiting {
			h.refusePoison(now, rs)
		}
	}
}

// recordSurvival clears a request, its parts and the process that ran it of the suspicion to have
// taken part in a crash.
func (h *hosted) recordSurvival(now core.Instant, rs *requestState, e ResponseCompleted) {
	if rs.attempt == e.Attempt {
		h.processSurvived(now, rs)
	}
	if e.Status < 500 {
		h.crashing.OnServed(now, rs.fingerprintPart()[0])
	}
	if e.Status < 300 {
		h.poison.OnCompleted(now, rs.request.SharedParts)
	}
}

// processSurvived records that the process which runs a request has answered it.
func (h *hosted) processSurvived(now core.Instant, rs *requestState) {
	for _, detector := range []*poison.Detector{h.crashing, h.poison} {
		detector.OnSurvived(now, rs.hosted.runStartedAt, rs.hosted.process())
	}
}
