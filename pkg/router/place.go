package router

import (
	"fmt"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// place submits the request to placement, which queues it or chooses Upstreams.
func (r *Router) place(now core.Instant, rs *requestState) {
	rs.queued = true
	job := placement.Job{
		ID:              rs.request.ID,
		Account:         rs.accountID(),
		Service:         rs.service.Name,
		Model:           rs.request.Model,
		Weight:          1,
		PromptTokens:    rs.promptTokens,
		MaxOutputTokens: rs.request.MaxOutputTokens - rs.tokensSent,
		PrefixHashes:    rs.request.Prefix,
		Deadline:        min(rs.request.Deadline, rs.startDeadline),
		AvoidUpstreams:  rs.avoidUpstreams,
		IsRetry:         rs.started(),
	}
	if rs.account != nil {
		job.Weight = rs.account.Weight
		job.Priority = rs.account.Priority
	}
	r.applyPlacement(now, r.placement.Submit(now, job))
}

func (r *Router) applyPlacement(now core.Instant, outputs []placement.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case placement.ModelPlacement:
			r.startAttempt(now, o.ID, attempts.Placement{
				Prefill:        o.Prefill,
				Decode:         o.Decode,
				StartPrefillAt: o.StartPrefillAt,
				SlotFreeAt:     o.SlotFreeAt,
			})
		case placement.PlainPlacement:
			r.startAttempt(now, o.ID, attempts.Placement{Replica: o.Upstream})
		case placement.SendReserveRequest:
			request := o.Request
			r.sendToMember(o.To, Message{Reserve: &request}, core.Never)
		case placement.SendReleaseNotice:
			notice := o.Notice
			r.sendToMember(o.To, Message{Release: &notice}, core.Never)
		case placement.JobRefused:
			r.onPlacementRefused(now, o)
		}
	}
}

func (r *Router) onPlacementRefused(now core.Instant, o placement.JobRefused) {
	rs := r.requests[o.ID]
	if rs == nil {
		return
	}
	rs.queued = false
	if !rs.started() {
		r.refuse(now, rs, o.Refusal)
		return
	}
	r.applyAttempts(now, r.attempts.OnPlacementRefused(now, o.ID, o.Refusal))
}

func (r *Router) startAttempt(now core.Instant, id core.RequestID, plan attempts.Placement) {
	rs := r.requests[id]
	if rs == nil {
		r.applyPlacement(now, r.placement.Release(now, id))
		return
	}
	rs.queued = false
	rs.placed = true
	r.record(now, "placement", "placed", rs, fmt.Sprintf("prefill=%s decode=%s plain=%s", plan.Prefill, plan.Decode, plan.Replica))
	r.applyAttempts(now, r.attempts.Start(now, attempts.Request{
		ID:              id,
		Fingerprint:     rs.request.Fingerprint,
		Idempotent:      rs.idempotent(),
		Deadline:        min(rs.request.Deadline, rs.startDeadline),
		MaxOutputTokens: rs.request.MaxOutputTokens,
	}, plan))
}

func (r *Router) applyAttempts(now core.Instant, outputs []attempts.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case attempts.StartPrefill:
			r.startPrefill(now, o)
		case attempts.StartDecode:
			r.startDecode(now, o)
		case attempts.StartCall:
			r.startCall(now, o)
		case attempts.Cancel:
			r.cancel(o)
		case attempts.Reschedule:
			r.reschedule(now, o)
		case attempts.RequestCompleted:
			if rs := r.requests[o.Request]; rs != nil {
				r.complete(now, rs, o.Tokens)
			}
		case attempts.RequestFailed:
			if rs := r.requests[o.Request]; rs != nil {
				r.refuse(now, rs, o.Refusal)
			}
		case attempts.SendSuspectNotice:
			notice := o.Notice
			r.sendToMember(o.To, Message{Suspect: &notice}, core.Never)
		case attempts.PollAttempts:
			r.pollLoad(o.Upstream)
		case attempts.SendOwnerQuery:
			r.sendToMember(o.To, Message{AskOwner: &AbandonedAttemptsQuery{Upstream: o.Upstream, Attempts: o.Attempts}}, core.Never)
		}
	}
}

// cancel ends an attempt. A plain service has no cancel endpoint, so only the
// connection is closed.
func (r *Router) cancel(o attempts.Cancel) {
	entry := r.upstreams[o.Upstream]
	effect := Cancel{Request: r.requestOfAttempt[o.Attempt], Attempt: o.Attempt, Upstream: o.Upstream}
	if entry.role != config.RolePlain {
		effect.URL = entry.url
	}
	r.emit(effect)
}

func (r *Router) startPrefill(now core.Instant, o attempts.StartPrefill) {
	rs := r.requests[o.Request]
	if rs == nil {
		return
	}
	rs.attempt = o.Attempt
	rs.prefillUpstream = o.Upstream
	rs.tokensSent = o.TokensSent
	r.requestOfAttempt[o.Attempt] = o.Request
	r.emit(StartPrefill{
		Request:  o.Request,
		Attempt:  o.Attempt,
		Upstream: o.Upstream,
		URL:      r.upstreams[o.Upstream].url,
		At:       o.StartAt,
		NotAfter: o.NotAfter,
		Priority: rs.priority(),
	})
	r.recordWithUpstream(now, "attempts", "prefill", rs, o.Upstream, o.Attempt.String())
}

func (r *Router) startDecode(now core.Instant, o attempts.StartDecode) {
	rs := r.requests[o.Request]
	if rs == nil {
		return
	}
	r.emit(StartDecode{
		Request:         o.Request,
		Attempt:         o.Attempt,
		Upstream:        o.Decode,
		URL:             r.upstreams[o.Decode].url,
		SourceURL:       r.upstreams[o.Prefill].url,
		KV:              rs.kv,
		At:              o.StartAt,
		NotAfter:        o.NotAfter,
		MaxOutputTokens: rs.request.MaxOutputTokens,
		Priority:        rs.priority(),
	})
	r.recordWithUpstream(now, "attempts", "decode", rs, o.Decode, o.Attempt.String())
}

func (r *Router) startCall(now core.Instant, o attempts.StartCall) {
	rs := r.requests[o.Request]
	if rs == nil {
		return
	}
	rs.attempt = o.Attempt
	r.requestOfAttempt[o.Attempt] = o.Request
	r.emit(StartCall{
		Request:  o.Request,
		Attempt:  o.Attempt,
		Upstream: o.Upstream,
		URL:      r.upstreams[o.Upstream].url,
		NotAfter: o.NotAfter,
	})
	r.recordWithUpstream(now, "attempts", "call", rs, o.Upstream, o.Attempt.String())
}

// reschedule places a request again after a failed attempt.
func (r *Router) reschedule(now core.Instant, o attempts.Reschedule) {
	rs := r.requests[o.Request]
	if rs == nil {
		return
	}
	r.releasePlacement(now, rs)
	rs.avoidUpstreams = o.AvoidUpstreams
	rs.tokensSent = o.TokensSent
	rs.promptTokens = rs.request.PromptTokens + o.TokensSent
	r.record(now, "attempts", "replaced", rs, fmt.Sprintf("tokens_sent=%d", o.TokensSent))
	r.place(now, rs)
}

// resume continues a response that another Instance has started and charged. The
// engine gets a new ID for the attempt, so that cleanup by the former owner does
// not cancel it.
func (r *Router) resume(now core.Instant, rs *requestState) {
	from := rs.request.Resume
	upstream, known := r.upstreams[from.Upstream]
	if from.Account != rs.accountID() || !known {
		r.refuse(now, rs, core.NewRefusal(core.CodeResumeInvalid, "the event id does not belong to an answer that still runs"))
		return
	}
	rs.tokensSent = from.Offset
	rs.tokensRelayed = from.Offset
	rs.attempt = r.attempts.ResumeDecode(now, attempts.Request{
		ID:              rs.request.ID,
		Fingerprint:     rs.request.Fingerprint,
		Deadline:        rs.request.Deadline,
		MaxOutputTokens: rs.request.MaxOutputTokens,
	}, from.Upstream, from.Offset)
	r.requestOfAttempt[rs.attempt] = rs.request.ID
	r.emit(StartResume{
		Request:       rs.request.ID,
		Attempt:       rs.attempt,
		EngineAttempt: from.Attempt,
		Upstream:      from.Upstream,
		URL:           upstream.url,
		Offset:        from.Offset,
		NotAfter:      rs.request.Deadline,
	})
	r.recordWithUpstream(now, "attempts", "resumed", rs, from.Upstream, fmt.Sprintf("request=%s offset=%d", from.Request, from.Offset))
}
