package router

import (
	"fmt"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// place hands the request to placement, which queues it or chooses Upstreams.
func (r *Router) place(now core.Instant, f *flow) {
	f.queued = true
	job := placement.Job{
		ID:              f.request.ID,
		Account:         f.accountID(),
		Service:         f.service.Name,
		Model:           f.request.Model,
		Weight:          1,
		PromptTokens:    f.promptTokens,
		MaxOutputTokens: f.request.MaxOutputTokens - f.tokensSent,
		PrefixHashes:    f.request.Prefix,
		Deadline:        min(f.request.Deadline, f.startBefore),
		AvoidUpstreams:  f.avoid,
		IsRetry:         f.started(),
	}
	if f.account != nil {
		job.Weight = f.account.Weight
		job.Priority = f.account.Priority
	}
	r.applyPlacement(now, r.placement.Submit(now, job))
}

func (r *Router) applyPlacement(now core.Instant, outputs []placement.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case placement.ModelPlacement:
			r.start(now, o.ID, attempts.Placement{
				Prefill:        o.Prefill,
				Decode:         o.Decode,
				StartPrefillAt: o.StartPrefillAt,
				SlotFreeAt:     o.SlotFreeAt,
			})
		case placement.PlainPlacement:
			r.start(now, o.ID, attempts.Placement{Replica: o.Upstream})
		case placement.SendReserveRequest:
			request := o.Request
			r.sendTo(o.To, Message{Reserve: &request}, core.Never)
		case placement.SendReleaseNotice:
			notice := o.Notice
			r.sendTo(o.To, Message{Release: &notice}, core.Never)
		case placement.JobRefused:
			r.placementRefused(now, o)
		}
	}
}

func (r *Router) placementRefused(now core.Instant, o placement.JobRefused) {
	f := r.flows[o.ID]
	if f == nil {
		return
	}
	f.queued = false
	if !f.started() {
		r.refuse(now, f, o.Refusal)
		return
	}
	r.applyAttempts(now, r.attempts.OnPlacementRefused(now, o.ID, o.Refusal))
}

func (r *Router) start(now core.Instant, id core.RequestID, plan attempts.Placement) {
	f := r.flows[id]
	if f == nil {
		r.applyPlacement(now, r.placement.Release(now, id))
		return
	}
	f.queued = false
	f.placed = true
	r.record(now, "placement", "placed", f, fmt.Sprintf("prefill=%s decode=%s plain=%s", plan.Prefill, plan.Decode, plan.Replica))
	r.applyAttempts(now, r.attempts.Start(now, attempts.Request{
		ID:              id,
		Fingerprint:     f.request.Fingerprint,
		Idempotent:      f.idempotent(),
		Deadline:        min(f.request.Deadline, f.startBefore),
		MaxOutputTokens: f.request.MaxOutputTokens,
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
			r.replace(now, o)
		case attempts.RequestCompleted:
			if f := r.flows[o.Request]; f != nil {
				r.complete(now, f, o.Tokens)
			}
		case attempts.RequestFailed:
			if f := r.flows[o.Request]; f != nil {
				r.refuse(now, f, o.Refusal)
			}
		case attempts.SendSuspectNotice:
			notice := o.Notice
			r.sendTo(o.To, Message{Suspect: &notice}, core.Never)
		case attempts.PollAttempts:
			r.poll(o.Upstream)
		case attempts.SendOwnerQuery:
			r.sendTo(o.To, Message{AskOwner: &AbandonedAttemptsQuery{Upstream: o.Upstream, Attempts: o.Attempts}}, core.Never)
		}
	}
}

// cancel ends an attempt. A plain service has no cancel call, so only the
// connection is closed.
func (r *Router) cancel(o attempts.Cancel) {
	entry := r.upstreams[o.Upstream]
	effect := Cancel{Request: r.running[o.Attempt], Attempt: o.Attempt, Upstream: o.Upstream}
	if entry.role != config.RolePlain {
		effect.URL = entry.url
	}
	r.emit(effect)
}

func (r *Router) startPrefill(now core.Instant, o attempts.StartPrefill) {
	f := r.flows[o.Request]
	if f == nil {
		return
	}
	f.attempt = o.Attempt
	f.prefill = o.Upstream
	f.tokensSent = o.TokensSent
	r.running[o.Attempt] = o.Request
	r.emit(StartPrefill{
		Request:  o.Request,
		Attempt:  o.Attempt,
		Upstream: o.Upstream,
		URL:      r.upstreams[o.Upstream].url,
		At:       o.StartAt,
		NotAfter: o.NotAfter,
		Priority: f.priority(),
	})
	r.recordAt(now, "attempts", "prefill", f, o.Upstream, o.Attempt.String())
}

func (r *Router) startDecode(now core.Instant, o attempts.StartDecode) {
	f := r.flows[o.Request]
	if f == nil {
		return
	}
	r.emit(StartDecode{
		Request:         o.Request,
		Attempt:         o.Attempt,
		Upstream:        o.Decode,
		URL:             r.upstreams[o.Decode].url,
		SourceURL:       r.upstreams[o.Prefill].url,
		KV:              f.kv,
		At:              o.StartAt,
		NotAfter:        o.NotAfter,
		MaxOutputTokens: f.request.MaxOutputTokens,
		Priority:        f.priority(),
	})
	r.recordAt(now, "attempts", "decode", f, o.Decode, o.Attempt.String())
}

func (r *Router) startCall(now core.Instant, o attempts.StartCall) {
	f := r.flows[o.Request]
	if f == nil {
		return
	}
	f.attempt = o.Attempt
	r.running[o.Attempt] = o.Request
	r.emit(StartCall{
		Request:  o.Request,
		Attempt:  o.Attempt,
		Upstream: o.Upstream,
		URL:      r.upstreams[o.Upstream].url,
		NotAfter: o.NotAfter,
	})
	r.recordAt(now, "attempts", "call", f, o.Upstream, o.Attempt.String())
}

// replace places a request again after a failed attempt.
func (r *Router) replace(now core.Instant, o attempts.Reschedule) {
	f := r.flows[o.Request]
	if f == nil {
		return
	}
	r.release(now, f)
	f.avoid = o.AvoidUpstreams
	f.tokensSent = o.TokensSent
	f.promptTokens = f.request.PromptTokens + o.TokensSent
	r.record(now, "attempts", "replaced", f, fmt.Sprintf("tokens_sent=%d", o.TokensSent))
	r.place(now, f)
}

// resume continues an answer that another Instance has begun. The tokens were
// charged there. The engine knows the attempt under a new id from then on, so
// that the former owner's end does not cancel it.
func (r *Router) resume(now core.Instant, f *flow) {
	from := f.request.Resume
	upstream, known := r.upstreams[from.Upstream]
	if from.Account != f.accountID() || !known {
		r.refuse(now, f, core.NewRefusal(core.CodeResumeInvalid, "the event id does not belong to an answer that still runs"))
		return
	}
	f.tokensSent = from.Offset
	f.relayed = from.Offset
	f.attempt = r.attempts.ResumeDecode(now, attempts.Request{
		ID:              f.request.ID,
		Fingerprint:     f.request.Fingerprint,
		Deadline:        f.request.Deadline,
		MaxOutputTokens: f.request.MaxOutputTokens,
	}, from.Upstream, from.Offset)
	r.running[f.attempt] = f.request.ID
	r.emit(StartResume{
		Request:       f.request.ID,
		Attempt:       f.attempt,
		EngineAttempt: from.Attempt,
		Upstream:      from.Upstream,
		URL:           upstream.url,
		Offset:        from.Offset,
		NotAfter:      f.request.Deadline,
	})
	r.recordAt(now, "attempts", "resumed", f, from.Upstream, fmt.Sprintf("request=%s offset=%d", from.Request, from.Offset))
}
