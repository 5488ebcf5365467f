package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// attemptFailed decides what becomes of a request whose call failed. It answers
// Upstreams that crash, fall silent, refuse or fail part of their requests: a
// request goes on elsewhere only when it certainly did not run, or may run again
// within its number of Upstreams and the retry budget of the fleet.
func (h *hosted) attemptFailed(now core.Instant, e AttemptFailed) {
	f := h.flowOf(e.Request, e.Attempt)
	if f == nil {
		return
	}
	failure := e.Failure
	h.noteFailure(now, f, failure)
	h.emit(Observe{Observation: Observation{Service: f.service.Name, Hosted: &HostedOutcome{Failure: failure.Kind}}})
	h.recordAt(now, "dispatch", "failed", f, failure.Upstream, fmt.Sprintf("stage=%s kind=%s sent=%t rejected=%t began=%t runs=%d",
		f.hosted.stage, failure.Kind, failure.MaybeSent, failure.ConfirmedNotRun, f.firstToken != 0, f.hosted.runs))
	if f.hosted.stage == stagePrefill {
		h.prefillFailed(now, f, failure)
		return
	}
	h.runFailed(now, f, failure)
}

// noteFailure keeps new work from an Upstream that does not answer, and counts
// the crash for the request that ran there.
func (h *hosted) noteFailure(now core.Instant, f *flow, failure attempts.Failure) {
	switch failure.Kind {
	case attempts.FailConnect:
		h.dispatch.MarkUnreachable(now, failure.Upstream)
	case attempts.FailStalled:
		h.dispatch.RecordOutcome(failure.Upstream, false)
		if f.hosted.service.Engine != nil { // a plain call may only be slow
			h.dispatch.MarkUnreachable(now, failure.Upstream)
		}
	case attempts.FailCrashed:
		h.dispatch.RecordOutcome(failure.Upstream, false)
		if failure.MaybeSent && f.hosted.stage == stageRun {
			h.crashesOf(now, f.request.Fingerprint).own++
		}
	case attempts.FailProtocolError:
		h.dispatch.RecordOutcome(failure.Upstream, false)
	}
}

// prefillFailed goes on without a prefill engine, or with another one when the
// first was not reached.
func (h *hosted) prefillFailed(now core.Instant, f *flow, failure attempts.Failure) {
	h.dispatch.OnPrefillDone(f.request.ID)
	if !failure.MaybeSent {
		f.hosted.unsent++
		if f.hosted.unsent < maxUnsent {
			h.startPrefill(now, f)
			return
		}
	} else {
		f.hosted.arrivals++
		if failure.ConfirmedNotRun {
			h.retry.CountRetry(now, f.hosted.service.Name)
		}
	}
	f.hosted.prefillDone = true
	h.startDecode(now, f)
}

func (h *hosted) runFailed(now core.Instant, f *flow, failure attempts.Failure) {
	host := f.hosted
	if notExecuted(failure) {
		host.runs--
	}
	if failure.MaybeSent {
		host.arrivals++
	}
	host.kept = host.kept || failure.Kind == attempts.FailProtocolError
	if !h.mayResend(now, f, failure) {
		if f.firstToken == 0 && host.runs == 0 {
			h.refuseHosted(now, f, retryLater(core.CodeNoCapacity, "the Upstream refused the request", refusedAgain))
			return
		}
		h.refuseHosted(now, f, &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.MayHaveRun, Message: "the Upstream failed while it ran the request"})
		return
	}
	h.dropKV(f)
	host.hold = ""
	if !failure.ConfirmedNotRun || failure.Kind != attempts.FailKVGone {
		f.avoid = append(f.avoid, failure.Upstream)
	}
	h.emit(Observe{Observation: Observation{Service: f.service.Name, Hosted: &HostedOutcome{Retried: true}}})
	h.applyDispatch(now, h.dispatch.Release(now, f.request.ID))
	h.submit(now, f)
}

// refusedAgain is the time after which a caller may return when the Upstreams
// refused its request. A place becomes free sooner than that on a busy engine.
const refusedAgain = time.Second

// mayResend reports whether a request may be sent to an Upstream once more, and
// takes the resend from the budget.
func (h *hosted) mayResend(now core.Instant, f *flow, failure attempts.Failure) bool {
	host := f.hosted
	if now >= host.deadline {
		return false
	}
	if !failure.MaybeSent {
		host.unsent++
		return host.unsent < maxUnsent
	}
	if !notExecuted(failure) && !(host.route.Idempotent() && host.runs < host.route.MaxUpstreams) {
		return false
	}
	if c := h.crashes[f.request.Fingerprint]; c != nil && c.count() >= crashLimit {
		return false
	}
	return h.retry.Allow(now, host.service.Name)
}

// dropKV frees a KV cache that no engine has fetched.
func (h *hosted) dropKV(f *flow) {
	if f.kv == "" {
		return
	}
	h.emit(ReleaseKV{Upstream: f.hosted.prefill.ID, Addr: f.hosted.prefill.Addr, KV: f.kv})
	f.kv = ""
}
