package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
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
	ending     ResponseCompleted

	// hosted is set for the requests of a hosted Instance.
	hosted *hostedFlow
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

// attemptFailed keeps new work from an Upstream that does not answer, and lets
// the request go on elsewhere where that is possible.
func (r *Router) attemptFailed(now core.Instant, e AttemptFailed) {
	switch e.Failure.Kind {
	case attempts.FailConnect, attempts.FailCrashed, attempts.FailStalled:
		r.placement.OnUpstreamFailed(now, e.Failure.Upstream)
	}
	if f := r.flows[r.running[e.Attempt]]; f != nil {
		r.recordAt(now, "attempts", "failed", f, e.Failure.Upstream, fmt.Sprintf("%s %s sent=%t", e.Attempt, e.Failure.Kind, e.Failure.MaybeSent))
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
	result := placement.PrefillResult{ID: f.request.ID, CachedTokens: e.CachedTokens, KVBytes: e.Bytes, Duration: e.Duration}
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

func (r *Router) answerEnded(now core.Instant, e ResponseCompleted) {
	if f := r.flows[r.running[e.Attempt]]; f != nil && f.attempt == e.Attempt {
		f.ending = e
	}
	r.applyAttempts(now, r.attempts.OnCompleted(now, e.Attempt, e.Tokens))
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
			Account: f.accountID(), Service: f.service.Name, CallerDisconnected: true, WastedPrefillTokens: f.prefilled,
		}})
	}
	used := int64(0)
	if f.started() {
		used = int64(f.request.PromptTokens + f.relayed)
	}
	r.emit(RequestAbandoned{Request: id})
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
		r.applyClaims(now, r.claims.Finish(now, f.request.ID, claims.Outcome{Status: f.ending.Status, Ran: core.MayHaveRun}))
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
			outcome.Ran = core.MayHaveRun
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

func (r *Router) answerAddresses(now core.Instant, e AddressesRequested) {
	account := core.AccountID("")
	if e.Credential != nil {
		account = e.Credential.Account
	}
	addresses := r.membership.Addresses(now, r.self.Region, account)
	if r.leaving {
		addresses = without(addresses, r.self.CallerAddr)
	}
	r.emit(Addresses{QueryID: e.QueryID, Addresses: addresses})
}

func without(a membership.Addresses, addr string) membership.Addresses {
	a.CallerAddrs = slices.DeleteFunc(slices.Clone(a.CallerAddrs), func(other string) bool { return other == addr })
	return a
}

func retryLater(code core.Code, message string, after time.Duration) *core.Refusal {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = after
	return refusal
}
