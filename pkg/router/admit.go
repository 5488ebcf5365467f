package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
)

// onRequestArrived authorizes a request and starts its admission, or its resume.
func (r *Router) onRequestArrived(now core.Instant, q Request) {
	rs := &requestState{request: q, arrivedAt: now, startDeadline: core.Never, promptTokens: q.PromptTokens}
	if _, exists := r.requests[q.ID]; exists {
		return
	}
	if refusal := r.authorize(now, rs); refusal != nil {
		r.emit(Refuse{Request: q.ID, Refusal: refusal})
		r.record(now, "request", "refused", rs, string(refusal.Code))
		return
	}
	r.requests[q.ID] = rs
	r.record(now, "request", "accepted", rs, string(rs.service.Name))
	if q.Resume != nil {
		r.resume(now, rs)
		return
	}
	if refusal := r.attempts.CheckFingerprint(now, q.Fingerprint); refusal != nil {
		r.refuse(now, rs, refusal)
		return
	}
	r.admit(now, rs)
}

// authorize finds the service of a request and the account of its key, and
// refuses a request that is not allowed to use the service.
func (r *Router) authorize(now core.Instant, rs *requestState) *core.Refusal {
	if r.stopReason != "" {
		return refusalWithRetryAfter(core.CodeLeaving, "this instance may not serve now: "+r.stopReason, time.Second)
	}
	if r.drained {
		return core.NewRefusal(core.CodeLeaving, "this instance has shut down: ask for addresses again")
	}
	if r.snapshot == nil {
		return refusalWithRetryAfter(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	if refusal := r.findService(rs); refusal != nil {
		return refusal
	}
	if rs.route != nil && rs.route.Public {
		return nil
	}
	if rs.request.Credential == nil {
		return core.NewRefusal(core.CodeMissingKey, "this route needs a key in the Authorization header")
	}
	if refusal := r.keys.Check(now, r.snapshot, *rs.request.Credential, rs.service); refusal != nil {
		return refusal
	}
	account, found := r.snapshot.Account(rs.request.Credential.Account)
	if !found {
		return core.NewRefusal(core.CodeUnknownKey, "the key is not known")
	}
	if !account.Allows(rs.service.Name) {
		return core.NewRefusal(core.CodeServiceNotAllowed, fmt.Sprintf("account %q may not use service %q", account.ID, rs.service.Name))
	}
	rs.account = account
	return nil
}

func (r *Router) findService(rs *requestState) *core.Refusal {
	found := false
	if rs.request.plain() {
		rs.service, rs.route, found = r.snapshot.PlainRoute(rs.request.Method, rs.request.Path)
		if !found {
			return core.NewRefusal(core.CodeUnknownRoute, fmt.Sprintf("no service has a route for %s %s", rs.request.Method, rs.request.Path))
		}
		return nil
	}
	rs.service, found = r.snapshot.ModelService(rs.request.Model)
	if !found {
		return core.NewRefusal(core.CodeUnknownModel, fmt.Sprintf("no service offers model %q", rs.request.Model))
	}
	return nil
}

// admit charges the account with an upper bound of the tokens that the request
// may use.
func (r *Router) admit(now core.Instant, rs *requestState) {
	if rs.account == nil {
		r.claim(now, rs)
		return
	}
	rs.charge = int64(rs.request.PromptTokens) + int64(rs.request.MaxOutputTokens)
	if rs.route != nil {
		rs.charge = rs.route.CostTokens
	}
	admission := r.limits.Admit(now, rs.request.ID, accountLimit(rs.account), rs.charge)
	r.applyAdmission(now, rs, admission)
}

func accountLimit(a *config.ClientAccount) limits.Account {
	return limits.Account{ID: a.ID, Rate: a.RateTokensPerSecond, Burst: a.BurstTokens}
}

func (r *Router) applyAdmission(now core.Instant, rs *requestState, admission limits.Admission) {
	for _, loan := range admission.LoanRequests {
		request := loan.Request
		r.sendToMember(loan.To, Message{LoanRequest: &request}, core.Never)
	}
	rs.borrowing = admission.State == limits.Borrowing
	switch admission.State {
	case limits.Granted:
		rs.charged = true
		r.claim(now, rs)
	case limits.Refused:
		r.refuse(now, rs, admission.Refusal)
	}
}

func (r *Router) applyAdmissionUpdates(now core.Instant, admitted []limits.AdmissionUpdate) {
	for _, a := range admitted {
		rs := r.requests[a.ID]
		if rs == nil {
			r.limits.Settle(now, a.ID, 0)
			continue
		}
		r.applyAdmission(now, rs, a.Admission)
	}
}

// claimTimeout bounds the wait for a claim and for the dispatch of the request,
// so that during an outage of the store the refusal reaches the caller before the
// caller's own timeout.
const claimTimeout = 5 * time.Second

// claim requests the exclusive right to run a non-idempotent request that has an
// idempotency key. Without a key, each request is independent and is sent once.
func (r *Router) claim(now core.Instant, rs *requestState) {
	if rs.idempotent() || rs.request.IdempotencyKey == "" {
		r.place(now, rs)
		return
	}
	rs.claimed = true
	var digest claims.Digest
	copy(digest[:], rs.request.BodyDigest[:])
	r.applyClaims(now, r.claims.Claim(now, claims.Request{
		ID:             rs.request.ID,
		Account:        rs.accountID(),
		IdempotencyKey: rs.request.IdempotencyKey,
		BodyDigest:     digest,
		Deadline:       min(rs.request.Deadline, now.Add(claimTimeout)),
		WallTime:       rs.request.WallTime,
	}))
}

func (r *Router) applyClaims(now core.Instant, outputs []claims.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case claims.ReadShard:
			r.emit(StoreGet{Op: StoreOp{Kind: OpClaims, Shard: o.Shard}, Name: claimsObjectName(o.Shard)})
		case claims.WriteShard:
			r.emit(StorePut{
				Op:       StoreOp{Kind: OpClaims, Write: true, Shard: o.Shard},
				Name:     claimsObjectName(o.Shard),
				Base:     o.BaseVersion,
				Value:    o.Object,
				NotAfter: o.NotAfter,
			})
		case claims.ClaimConfirmed:
			r.onClaimConfirmed(now, o)
		case claims.RecordedOutcome:
			r.onRecordedOutcome(now, o)
		case claims.RequestRefused:
			if rs := r.requests[o.ID]; rs != nil {
				rs.claimed = false
				r.refuse(now, rs, withOriginalID(o))
			}
		}
	}
}

// withOriginalID adds the ID of the earlier request with the same key to the
// refusal.
func withOriginalID(o claims.RequestRefused) *core.Refusal {
	if o.OriginalID == "" || o.OriginalID == o.ID {
		return o.Refusal
	}
	refusal := *o.Refusal
	refusal.Message += "; the earlier request with this key is " + string(o.OriginalID)
	return &refusal
}

func (r *Router) onClaimConfirmed(now core.Instant, o claims.ClaimConfirmed) {
	rs := r.requests[o.ID]
	if rs == nil {
		r.applyClaims(now, r.claims.Finish(now, o.ID, claims.Outcome{Ran: core.NotRun}))
		return
	}
	rs.startDeadline = o.NotAfter
	r.place(now, rs)
}

func (r *Router) onRecordedOutcome(now core.Instant, o claims.RecordedOutcome) {
	rs := r.requests[o.ID]
	if rs == nil {
		return
	}
	rs.claimed = false
	r.emit(Replay{Request: o.ID, Outcome: o.Outcome})
	r.record(now, "claims", "replayed", rs, fmt.Sprint(o.Outcome.Status))
	r.finish(now, rs, 0)
}
