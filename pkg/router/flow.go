package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// flow is one request on its way through the modules. Each module that holds
// something for the request is named by a flag, so that finish can release it.
type flow struct {
	request Request
	account *config.ClientAccount // nil on an open route
	service *config.Service
	route   *config.Route // nil for a completion

	arrived core.Instant
	charge  int64 // tokens
	charged bool
	// borrowing is set while limits waits for a loan.
	borrowing bool
	claimed   bool
	queued    bool
	placed    bool
	// callerGone is set while a call that has to be recorded runs on.
	callerGone bool
	// startBefore is the end of the permission that a confirmed claim gives.
	startBefore core.Instant

	// attempt is the current attempt, zero before the first.
	attempt core.AttemptID
	prefill core.UpstreamID
	kv      string
	avoid   []core.UpstreamID
	// promptTokens counts the prompt and the tokens of the answer that a later
	// attempt has to prefill.
	promptTokens int
	// tokensSent is the number of tokens that the caller has from earlier
	// attempts, relayed the number it has from all.
	tokensSent int
	relayed    int
	prefilled  int // prompt tokens whose prefill has ended
	firstToken core.Instant
	ending     AnswerEnded
}

func (f *flow) started() bool { return f.attempt != core.AttemptID{} }

func (f *flow) priority() int {
	if f.account == nil {
		return 0
	}
	return f.account.Priority
}

func (f *flow) accountID() core.AccountID {
	if f.account == nil {
		return ""
	}
	return f.account.ID
}

// idempotent reports whether the request may run more than once.
func (f *flow) idempotent() bool {
	return f.route == nil || f.route.Idempotent
}

// arrive checks a request and takes it to its first module that has to wait.
func (r *Router) arrive(now core.Instant, q Request) {
	f := &flow{request: q, arrived: now, startBefore: core.Never, promptTokens: q.PromptTokens}
	if _, exists := r.flows[q.ID]; exists {
		return
	}
	if refusal := r.authorize(now, f); refusal != nil {
		r.emit(Refuse{Request: q.ID, Refusal: refusal})
		r.record(now, "request", "refused", f, string(refusal.Code))
		return
	}
	r.flows[q.ID] = f
	r.record(now, "request", "accepted", f, string(f.service.Name))
	if q.Resume != nil {
		r.resume(now, f)
		return
	}
	if refusal := r.attempts.Check(now, q.Fingerprint); refusal != nil {
		r.refuse(now, f, refusal)
		return
	}
	r.admit(now, f)
}

// authorize finds the service of a request and the account that may use it.
func (r *Router) authorize(now core.Instant, f *flow) *core.Refusal {
	if r.stopped != "" {
		return retryLater(core.CodeDraining, "this instance may not serve now: "+r.stopped, time.Second)
	}
	if r.drained {
		return core.Refuse(core.CodeDraining, "this instance has shut down: ask for addresses again")
	}
	if r.snapshot == nil {
		return retryLater(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	if refusal := r.findService(f); refusal != nil {
		return refusal
	}
	if f.route != nil && f.route.Open {
		return nil
	}
	if f.request.Credential == nil {
		return core.Refuse(core.CodeNoKey, "this route needs a key in the Authorization header")
	}
	if refusal := r.keys.Check(now, r.snapshot, *f.request.Credential, f.service); refusal != nil {
		return refusal
	}
	account, found := r.snapshot.Account(f.request.Credential.Account)
	if !found {
		return core.Refuse(core.CodeUnknownKey, "the key is not known")
	}
	if !account.Allows(f.service.Name) {
		return core.Refuse(core.CodeNotAllowed, fmt.Sprintf("account %q may not use service %q", account.ID, f.service.Name))
	}
	f.account = account
	return nil
}

func (r *Router) findService(f *flow) *core.Refusal {
	found := false
	if f.request.plain() {
		f.service, f.route, found = r.snapshot.PlainRoute(f.request.Method, f.request.Path)
		if !found {
			return core.Refuse(core.CodeUnknownRoute, fmt.Sprintf("no service has a route for %s %s", f.request.Method, f.request.Path))
		}
		return nil
	}
	f.service, found = r.snapshot.ModelService(f.request.Model)
	if !found {
		return core.Refuse(core.CodeUnknownModel, fmt.Sprintf("no service offers model %q", f.request.Model))
	}
	return nil
}

// admit charges the account with an upper bound of what the request may use.
func (r *Router) admit(now core.Instant, f *flow) {
	if f.account == nil {
		r.claim(now, f)
		return
	}
	f.charge = int64(f.request.PromptTokens) + int64(f.request.MaxOutput)
	if f.route != nil {
		f.charge = f.route.CostTokens
	}
	admission := r.limits.Admit(now, f.request.ID, accountLimit(f.account), f.charge)
	r.applyAdmission(now, f, admission)
}

func accountLimit(a *config.ClientAccount) limits.Account {
	return limits.Account{ID: a.ID, Rate: a.RateTokensPerSecond, Burst: a.BurstTokens}
}

func (r *Router) applyAdmission(now core.Instant, f *flow, admission limits.Admission) {
	for _, loan := range admission.Loans {
		request := loan.Request
		r.sendTo(loan.To, Message{LoanRequest: &request}, core.Never)
	}
	f.borrowing = admission.State == limits.Borrowing
	switch admission.State {
	case limits.Granted:
		f.charged = true
		r.claim(now, f)
	case limits.Refused:
		r.refuse(now, f, admission.Refusal)
	}
}

func (r *Router) applyAdmitted(now core.Instant, admitted []limits.Admitted) {
	for _, a := range admitted {
		f := r.flows[a.ID]
		if f == nil {
			r.limits.Settle(now, a.ID, 0)
			continue
		}
		r.applyAdmission(now, f, a.Admission)
	}
}

// claimWait bounds the wait for a claim and for its dispatch. In an outage of the
// store the caller gets its refusal while it still waits.
const claimWait = 5 * time.Second

// claim asks for the right to run a non-idempotent request that carries a key.
// Without a key each call is a request of its own and is sent once.
func (r *Router) claim(now core.Instant, f *flow) {
	if f.idempotent() || f.request.IdempotencyKey == "" {
		r.place(now, f)
		return
	}
	f.claimed = true
	var digest claims.Digest
	copy(digest[:], f.request.BodyDigest[:])
	r.applyClaims(now, r.claims.Claim(now, claims.Request{
		ID:         f.request.ID,
		Account:    f.accountID(),
		Key:        f.request.IdempotencyKey,
		BodyDigest: digest,
		Deadline:   min(f.request.Deadline, now.Add(claimWait)),
		WallTime:   f.request.WallTime,
	}))
}

func (r *Router) applyClaims(now core.Instant, outputs []claims.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case claims.Read:
			r.emit(StoreGet{Op: StoreOp{Kind: OpClaims, Shard: o.Shard}, Name: claimsObject(o.Shard)})
		case claims.Write:
			r.emit(StorePut{
				Op:       StoreOp{Kind: OpClaims, Write: true, Shard: o.Shard},
				Name:     claimsObject(o.Shard),
				Base:     o.Base,
				Value:    o.Object,
				NotAfter: o.NotAfter,
			})
		case claims.Confirmed:
			r.claimConfirmed(now, o)
		case claims.Recorded:
			r.claimRecorded(now, o)
		case claims.Refused:
			if f := r.flows[o.ID]; f != nil {
				f.claimed = false
				r.refuse(now, f, namingOriginal(o))
			}
		}
	}
}

// namingOriginal tells the caller which earlier request has its key.
func namingOriginal(o claims.Refused) *core.Refusal {
	if o.Original == "" || o.Original == o.ID {
		return o.Refusal
	}
	refusal := *o.Refusal
	refusal.Message += "; the earlier request with this key is " + string(o.Original)
	return &refusal
}

func (r *Router) claimConfirmed(now core.Instant, o claims.Confirmed) {
	f := r.flows[o.ID]
	if f == nil {
		r.applyClaims(now, r.claims.Finish(now, o.ID, claims.Outcome{Ran: core.NotRun}))
		return
	}
	f.startBefore = o.NotAfter
	r.place(now, f)
}

func (r *Router) claimRecorded(now core.Instant, o claims.Recorded) {
	f := r.flows[o.ID]
	if f == nil {
		return
	}
	f.claimed = false
	r.emit(Replay{Request: o.ID, Outcome: o.Outcome})
	r.record(now, "claims", "replayed", f, fmt.Sprint(o.Outcome.Status))
	r.finish(now, f, 0)
}

// place hands the request to placement, which queues it or chooses Upstreams.
func (r *Router) place(now core.Instant, f *flow) {
	f.queued = true
	job := placement.Job{
		ID:           f.request.ID,
		Account:      f.accountID(),
		Service:      f.service.Name,
		Model:        f.request.Model,
		Weight:       1,
		PromptTokens: f.promptTokens,
		MaxOutput:    f.request.MaxOutput - f.tokensSent,
		Prefix:       f.request.Prefix,
		Deadline:     min(f.request.Deadline, f.startBefore),
		Avoid:        f.avoid,
		Retry:        f.started(),
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
		case placement.Place:
			r.start(now, o.ID, attempts.Plan{
				Prefill:        o.Prefill,
				Decode:         o.Decode,
				StartPrefillAt: o.StartPrefillAt,
				SlotFreeAt:     o.SlotFreeAt,
			})
		case placement.Call:
			r.start(now, o.ID, attempts.Plan{Plain: o.Upstream})
		case placement.SendReserve:
			request := o.Request
			r.sendTo(o.To, Message{Reserve: &request}, core.Never)
		case placement.SendRelease:
			notice := o.Notice
			r.sendTo(o.To, Message{Release: &notice}, core.Never)
		case placement.Refused:
			r.placementRefused(now, o)
		}
	}
}

func (r *Router) placementRefused(now core.Instant, o placement.Refused) {
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

func (r *Router) start(now core.Instant, id core.RequestID, plan attempts.Plan) {
	f := r.flows[id]
	if f == nil {
		r.applyPlacement(now, r.placement.Release(now, id))
		return
	}
	f.queued = false
	f.placed = true
	r.record(now, "placement", "placed", f, fmt.Sprintf("prefill=%s decode=%s plain=%s", plan.Prefill, plan.Decode, plan.Plain))
	r.applyAttempts(now, r.attempts.Start(now, attempts.Request{
		ID:          id,
		Fingerprint: f.request.Fingerprint,
		Idempotent:  f.idempotent(),
		Deadline:    min(f.request.Deadline, f.startBefore),
		MaxOutput:   f.request.MaxOutput,
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
		case attempts.Replace:
			r.replace(now, o)
		case attempts.Finished:
			if f := r.flows[o.Request]; f != nil {
				r.complete(now, f, o.Tokens)
			}
		case attempts.Failed:
			if f := r.flows[o.Request]; f != nil {
				r.refuse(now, f, o.Refusal)
			}
		case attempts.ShareSuspect:
			notice := o.Notice
			r.sendTo(o.To, Message{Suspect: &notice}, core.Never)
		case attempts.PollRunning:
			r.poll(o.Upstream)
		case attempts.AskOwner:
			r.sendTo(o.To, Message{AskOwner: &AttemptsQuestion{Upstream: o.Upstream, Attempts: o.Attempts}}, core.Never)
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
		At:       o.At,
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
		Request:   o.Request,
		Attempt:   o.Attempt,
		Upstream:  o.Decode,
		URL:       r.upstreams[o.Decode].url,
		SourceURL: r.upstreams[o.Prefill].url,
		KV:        f.kv,
		At:        o.At,
		NotAfter:  o.NotAfter,
		MaxOutput: f.request.MaxOutput,
		Priority:  f.priority(),
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
func (r *Router) replace(now core.Instant, o attempts.Replace) {
	f := r.flows[o.Request]
	if f == nil {
		return
	}
	r.release(now, f)
	f.avoid = o.Avoid
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
		r.refuse(now, f, core.Refuse(core.CodeResumeInvalid, "the event id does not belong to an answer that still runs"))
		return
	}
	f.tokensSent = from.Offset
	f.relayed = from.Offset
	f.attempt = r.attempts.Adopt(now, attempts.Request{
		ID:          f.request.ID,
		Fingerprint: f.request.Fingerprint,
		Deadline:    f.request.Deadline,
		MaxOutput:   f.request.MaxOutput,
	}, from.Upstream, from.Offset)
	r.running[f.attempt] = f.request.ID
	r.emit(StartResume{
		Request:  f.request.ID,
		Attempt:  f.attempt,
		Running:  from.Attempt,
		Upstream: from.Upstream,
		URL:      upstream.url,
		Offset:   from.Offset,
		NotAfter: f.request.Deadline,
	})
	r.recordAt(now, "attempts", "resumed", f, from.Upstream, fmt.Sprintf("request=%s offset=%d", from.Request, from.Offset))
}

// attemptFailed keeps new work from an Upstream that does not answer, and lets
// the request go on elsewhere where that is possible.
func (r *Router) attemptFailed(now core.Instant, e AttemptFailed) {
	switch e.Failure.Kind {
	case attempts.FailConnect, attempts.FailCrashed, attempts.FailStalled:
		r.placement.OnUpstreamFailed(now, e.Failure.Upstream)
	}
	if f := r.flows[r.running[e.Attempt]]; f != nil {
		r.recordAt(now, "attempts", "failed", f, e.Failure.Upstream, fmt.Sprintf("%s %s sent=%t", e.Attempt, e.Failure.Kind, e.Failure.Sent))
	}
	r.applyAttempts(now, r.attempts.OnFailed(now, e.Attempt, e.Failure))
}

func (r *Router) prefillDone(now core.Instant, e PrefillDone) {
	f := r.flows[r.running[e.Attempt]]
	if f == nil || f.attempt != e.Attempt {
		return
	}
	f.kv = e.KV
	f.prefilled += f.promptTokens - e.CachedTokens
	result := placement.PrefillResult{ID: f.request.ID, CachedTokens: e.CachedTokens, Bytes: e.Bytes, Took: e.Took}
	r.placement.OnPrefillResult(now, f.prefill, result)
	r.applyAttempts(now, r.attempts.OnPrefillDone(now, e.Attempt))
}

func (r *Router) onFirstToken(now core.Instant, e FirstToken) {
	f := r.flows[r.running[e.Attempt]]
	if f != nil && f.firstToken == 0 {
		f.firstToken = now
		r.record(now, "attempts", "first_token", f, now.Sub(f.arrived).String())
	}
	r.applyAttempts(now, r.attempts.OnFirstToken(now, e.Attempt))
}

func (r *Router) onProgress(now core.Instant, e Progress) {
	if f := r.flows[r.running[e.Attempt]]; f != nil {
		f.relayed = max(f.relayed, e.Tokens)
	}
	r.applyAttempts(now, r.attempts.OnProgress(now, e.Attempt, e.Tokens))
}

func (r *Router) answerEnded(now core.Instant, e AnswerEnded) {
	if f := r.flows[r.running[e.Attempt]]; f != nil && f.attempt == e.Attempt {
		f.ending = e
	}
	r.applyAttempts(now, r.attempts.OnEnded(now, e.Attempt, e.Tokens))
}

// callerGone ends a request, but lets a dispatched call with a claim run on:
// its outcome has to be recorded for a resend.
func (r *Router) callerGone(now core.Instant, id core.RequestID) {
	f := r.flows[id]
	if f == nil || f.callerGone {
		return
	}
	f.callerGone = true
	r.record(now, "request", "caller_gone", f, "")
	if f.claimed && f.started() {
		return
	}
	r.drop(now, f)
	if r.flows[id] == nil {
		return
	}
	if f.prefilled > 0 && f.relayed == 0 {
		r.emit(Observe{Observation: Observation{
			Account: f.accountID(), Service: f.service.Name, CallerGone: true, WastedPrefillTokens: f.prefilled,
		}})
	}
	used := int64(0)
	if f.started() {
		used = int64(f.request.PromptTokens + f.relayed)
	}
	r.emit(Dropped{Request: id})
	r.finish(now, f, used)
}

// refuse ends a request without a whole answer.
func (r *Router) refuse(now core.Instant, f *flow, refusal *core.Refusal) {
	r.emit(Refuse{Request: f.request.ID, Refusal: refusal})
	r.record(now, "request", "refused", f, string(refusal.Code)+" "+string(refusal.Ran))
	r.observe(f, refusal.Code, 0)
	used := f.charge
	if refusal.Ran == core.NotRun {
		used = 0
	}
	if f.claimed {
		r.applyClaims(now, r.claims.Finish(now, f.request.ID, claims.Outcome{Status: refusal.Code.Status(), Ran: refusal.Ran}))
		f.claimed = false
	}
	r.finish(now, f, used)
}

// complete ends a request whose whole answer was relayed.
func (r *Router) complete(now core.Instant, f *flow, tokens int) {
	r.emit(Complete{Request: f.request.ID})
	r.record(now, "request", "complete", f, fmt.Sprintf("tokens=%d", tokens))
	r.observe(f, "", tokens)
	if f.claimed {
		r.applyClaims(now, r.claims.Finish(now, f.request.ID, claims.Outcome{Status: f.ending.Status, Ran: core.Unknown}))
		f.claimed = false
	}
	used := int64(f.request.PromptTokens) + int64(tokens)
	if f.route != nil {
		used = f.charge
	}
	r.finish(now, f, used)
}

// finish releases everything that the modules hold for the request.
func (r *Router) finish(now core.Instant, f *flow, used int64) {
	delete(r.flows, f.request.ID)
	delete(r.running, f.attempt)
	if f.charged {
		r.limits.Settle(now, f.request.ID, min(used, f.charge))
	}
	if f.claimed {
		outcome := claims.Outcome{Ran: core.NotRun}
		if f.started() {
			outcome.Ran = core.Unknown
		}
		r.applyClaims(now, r.claims.Finish(now, f.request.ID, outcome))
	}
	r.release(now, f)
}

func (r *Router) release(now core.Instant, f *flow) {
	if !f.placed {
		return
	}
	f.placed = false
	r.applyPlacement(now, r.placement.Release(now, f.request.ID))
}

func (r *Router) answerAddresses(now core.Instant, e AddressesAsked) {
	account := core.AccountID("")
	if e.Credential != nil {
		account = e.Credential.Account
	}
	addresses := r.membership.Addresses(now, r.self.Region, account)
	if r.leaving {
		addresses = without(addresses, r.self.CallerAddr)
	}
	r.emit(Addresses{Ask: e.Ask, Addresses: addresses})
}

func without(a membership.Addresses, addr string) membership.Addresses {
	a.CallerAddrs = slices.DeleteFunc(slices.Clone(a.CallerAddrs), func(other string) bool { return other == addr })
	return a
}

func retryLater(code core.Code, message string, after time.Duration) *core.Refusal {
	refusal := core.Refuse(code, message)
	refusal.RetryAfter = after
	return refusal
}
