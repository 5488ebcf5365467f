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

// requestState is the state of one request. A flag for each module that holds
// resources for the request lets finish release them.
type requestState struct {
	request Request
	account *config.ClientAccount // nil on a public route
	service *config.Service
	route   *config.Route // nil for a completion

	arrivedAt core.Instant
	charge    int64 // tokens
	charged   bool
	// borrowing is set while the limiter waits for a loan.
	borrowing bool
	claimed   bool
	queued    bool
	placed    bool
	// callerDisconnected is set when the caller has disconnected. The request
	// continues only if its outcome has to be recorded.
	callerDisconnected bool
	// startDeadline is the instant until which the confirmed claim permits a
	// start.
	startDeadline core.Instant

	// attempt is the current attempt, zero before the first.
	attempt         core.AttemptID
	prefillUpstream core.UpstreamID
	kv              string
	avoidUpstreams  []core.UpstreamID
	// promptTokens counts the tokens that the next attempt has to prefill: the
	// prompt and the output tokens that the caller already has.
	promptTokens int
	// tokensSent is the number of output tokens that the caller received from
	// previous attempts, tokensRelayed the number from all attempts.
	tokensSent      int
	tokensRelayed   int
	tokensPrefilled int // tokens whose prefill is complete
	firstTokenAt    core.Instant
	completion      ResponseCompleted

	// hosted is set for the requests of a hosted Instance.
	hosted *hostedRequest
}

func (rs *requestState) started() bool { return rs.attempt != core.AttemptID{} }

func (rs *requestState) priority() int {
	if rs.account == nil {
		return 0
	}
	return rs.account.Priority
}

func (rs *requestState) accountID() core.AccountID {
	if rs.account == nil {
		return ""
	}
	return rs.account.ID
}

// idempotent reports whether the request may run more than once.
func (rs *requestState) idempotent() bool {
	return rs.route == nil || rs.route.Idempotent
}

// onAttemptFailed marks an Upstream that does not respond as failed, so that it
// gets no new work, and retries the request at another Upstream where that is
// allowed.
func (r *Router) onAttemptFailed(now core.Instant, e AttemptFailed) {
	switch e.Failure.Kind {
	case attempts.FailConnect, attempts.FailCrashed, attempts.FailStalled:
		r.placement.OnUpstreamFailed(now, e.Failure.Upstream)
	}
	if rs := r.requests[r.requestOfAttempt[e.Attempt]]; rs != nil {
		r.recordWithUpstream(now, "attempts", "failed", rs, e.Failure.Upstream, fmt.Sprintf("%s %s sent=%t", e.Attempt, e.Failure.Kind, e.Failure.MaybeSent))
	}
	r.applyAttempts(now, r.attempts.OnFailed(now, e.Attempt, e.Failure))
}

func (r *Router) onPrefillDone(now core.Instant, e PrefillDone) {
	rs := r.requests[r.requestOfAttempt[e.Attempt]]
	if rs == nil || rs.attempt != e.Attempt {
		return
	}
	rs.kv = e.KV
	rs.tokensPrefilled += rs.promptTokens - e.CachedTokens
	result := placement.PrefillResult{ID: rs.request.ID, CachedTokens: e.CachedTokens, KVBytes: e.Bytes, Duration: e.Duration}
	r.placement.OnPrefillResult(now, rs.prefillUpstream, result)
	r.applyAttempts(now, r.attempts.OnPrefillDone(now, e.Attempt))
}

func (r *Router) onFirstToken(now core.Instant, e FirstToken) {
	rs := r.requests[r.requestOfAttempt[e.Attempt]]
	if rs != nil && rs.firstTokenAt == 0 {
		rs.firstTokenAt = now
		r.record(now, "attempts", "first_token", rs, now.Sub(rs.arrivedAt).String())
	}
	r.applyAttempts(now, r.attempts.OnFirstToken(now, e.Attempt))
}

func (r *Router) onProgress(now core.Instant, e Progress) {
	if rs := r.requests[r.requestOfAttempt[e.Attempt]]; rs != nil {
		rs.tokensRelayed = max(rs.tokensRelayed, e.Tokens)
	}
	r.applyAttempts(now, r.attempts.OnProgress(now, e.Attempt, e.Tokens))
}

func (r *Router) onResponseCompleted(now core.Instant, e ResponseCompleted) {
	if rs := r.requests[r.requestOfAttempt[e.Attempt]]; rs != nil && rs.attempt == e.Attempt {
		rs.completion = e
	}
	r.applyAttempts(now, r.attempts.OnCompleted(now, e.Attempt, e.Tokens))
}

// onCallerDisconnected ends a request. A started request with a claim continues,
// because a retry by the caller needs its recorded outcome.
func (r *Router) onCallerDisconnected(now core.Instant, id core.RequestID) {
	rs := r.requests[id]
	if rs == nil || rs.callerDisconnected {
		return
	}
	rs.callerDisconnected = true
	r.record(now, "request", "caller_gone", rs, "")
	if rs.claimed && rs.started() {
		return
	}
	r.cancelPending(now, rs)
	if r.requests[id] == nil {
		return
	}
	if rs.tokensPrefilled > 0 && rs.tokensRelayed == 0 {
		r.emit(Observe{Observation: Observation{
			Account: rs.accountID(), Service: rs.service.Name, CallerDisconnected: true, WastedPrefillTokens: rs.tokensPrefilled,
		}})
	}
	used := int64(0)
	if rs.started() {
		used = int64(rs.request.PromptTokens + rs.tokensRelayed)
	}
	r.emit(RequestAbandoned{Request: id})
	r.finish(now, rs, used)
}

// refuse ends a request without a complete response.
func (r *Router) refuse(now core.Instant, rs *requestState, refusal *core.Refusal) {
	r.emit(Refuse{Request: rs.request.ID, Refusal: refusal})
	r.record(now, "request", "refused", rs, string(refusal.Code)+" "+string(refusal.Ran))
	r.observe(rs, refusal.Code, 0)
	used := rs.charge
	if refusal.Ran == core.NotRun {
		used = 0
	}
	if rs.claimed {
		r.applyClaims(now, r.claims.Finish(now, rs.request.ID, claims.Outcome{Status: refusal.Code.Status(), Ran: refusal.Ran}))
		rs.claimed = false
	}
	r.finish(now, rs, used)
}

// complete ends a request whose response was relayed completely.
func (r *Router) complete(now core.Instant, rs *requestState, tokens int) {
	r.emit(Complete{Request: rs.request.ID})
	r.record(now, "request", "complete", rs, fmt.Sprintf("tokens=%d", tokens))
	r.observe(rs, "", tokens)
	if rs.claimed {
		r.applyClaims(now, r.claims.Finish(now, rs.request.ID, claims.Outcome{Status: rs.completion.Status, Ran: core.MayHaveRun}))
		rs.claimed = false
	}
	used := int64(rs.request.PromptTokens) + int64(tokens)
	if rs.route != nil {
		used = rs.charge
	}
	r.finish(now, rs, used)
}

// finish releases everything that the modules hold for the request.
func (r *Router) finish(now core.Instant, rs *requestState, used int64) {
	delete(r.requests, rs.request.ID)
	delete(r.requestOfAttempt, rs.attempt)
	if rs.charged {
		r.limits.Settle(now, rs.request.ID, min(used, rs.charge))
	}
	if rs.claimed {
		outcome := claims.Outcome{Ran: core.NotRun}
		if rs.started() {
			outcome.Ran = core.MayHaveRun
		}
		r.applyClaims(now, r.claims.Finish(now, rs.request.ID, outcome))
	}
	r.releasePlacement(now, rs)
}

func (r *Router) releasePlacement(now core.Instant, rs *requestState) {
	if !rs.placed {
		return
	}
	rs.placed = false
	r.applyPlacement(now, r.placement.Release(now, rs.request.ID))
}

func (r *Router) onAddressesRequested(now core.Instant, e AddressesRequested) {
	account := core.AccountID("")
	if e.Credential != nil {
		account = e.Credential.Account
	}
	addresses := r.membership.Addresses(now, r.self.Region, account)
	if r.leaving {
		addresses = withoutAddr(addresses, r.self.CallerAddr)
	}
	r.emit(Addresses{QueryID: e.QueryID, Addresses: addresses})
}

func withoutAddr(a membership.Addresses, addr string) membership.Addresses {
	a.CallerAddrs = slices.DeleteFunc(slices.Clone(a.CallerAddrs), func(other string) bool { return other == addr })
	return a
}

func refusalWithRetryAfter(code core.Code, message string, delay time.Duration) *core.Refusal {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = delay
	return refusal
}
