package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
)

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
	if refusal := r.attempts.CheckFingerprint(now, q.Fingerprint); refusal != nil {
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
		return core.NewRefusal(core.CodeDraining, "this instance has shut down: ask for addresses again")
	}
	if r.snapshot == nil {
		return retryLater(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	if refusal := r.findService(f); refusal != nil {
		return refusal
	}
	if f.route != nil && f.route.Public {
		return nil
	}
	if f.request.Credential == nil {
		return core.NewRefusal(core.CodeMissingKey, "this route needs a key in the Authorization header")
	}
	if refusal := r.keys.Check(now, r.snapshot, *f.request.Credential, f.service); refusal != nil {
		return refusal
	}
	account, found := r.snapshot.Account(f.request.Credential.Account)
	if !found {
		return core.NewRefusal(core.CodeUnknownKey, "the key is not known")
	}
	if !account.Allows(f.service.Name) {
		return core.NewRefusal(core.CodeServiceNotAllowed, fmt.Sprintf("account %q may not use service %q", account.ID, f.service.Name))
	}
	f.account = account
	return nil
}

func (r *Router) findService(f *flow) *core.Refusal {
	found := false
	if f.request.plain() {
		f.service, f.route, found = r.snapshot.PlainRoute(f.request.Method, f.request.Path)
		if !found {
			return core.NewRefusal(core.CodeUnknownRoute, fmt.Sprintf("no service has a route for %s %s", f.request.Method, f.request.Path))
		}
		return nil
	}
	f.service, found = r.snapshot.ModelService(f.request.Model)
	if !found {
		return core.NewRefusal(core.CodeUnknownModel, fmt.Sprintf("no service offers model %q", f.request.Model))
	}
	return nil
}

// admit charges the account with an upper bound of what the request may use.
func (r *Router) admit(now core.Instant, f *flow) {
	if f.account == nil {
		r.claim(now, f)
		return
	}
	f.charge = int64(f.request.PromptTokens) + int64(f.request.MaxOutputTokens)
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
	for _, loan := range admission.LoanRequests {
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

func (r *Router) applyAdmitted(now core.Instant, admitted []limits.AdmissionUpdate) {
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
		ID:             f.request.ID,
		Account:        f.accountID(),
		IdempotencyKey: f.request.IdempotencyKey,
		BodyDigest:     digest,
		Deadline:       min(f.request.Deadline, now.Add(claimWait)),
		WallTime:       f.request.WallTime,
	}))
}

func (r *Router) applyClaims(now core.Instant, outputs []claims.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case claims.ReadShard:
			r.emit(StoreGet{Op: StoreOp{Kind: OpClaims, Shard: o.Shard}, Name: claimsObject(o.Shard)})
		case claims.WriteShard:
			r.emit(StorePut{
				Op:       StoreOp{Kind: OpClaims, Write: true, Shard: o.Shard},
				Name:     claimsObject(o.Shard),
				Base:     o.BaseVersion,
				Value:    o.Object,
				NotAfter: o.NotAfter,
			})
		case claims.ClaimConfirmed:
			r.claimConfirmed(now, o)
		case claims.RecordedOutcome:
			r.claimRecorded(now, o)
		case claims.RequestRefused:
			if f := r.flows[o.ID]; f != nil {
				f.claimed = false
				r.refuse(now, f, namingOriginal(o))
			}
		}
	}
}

// namingOriginal tells the caller which earlier request has its key.
func namingOriginal(o claims.RequestRefused) *core.Refusal {
	if o.OriginalID == "" || o.OriginalID == o.ID {
		return o.Refusal
	}
	refusal := *o.Refusal
	refusal.Message += "; the earlier request with this key is " + string(o.OriginalID)
	return &refusal
}

func (r *Router) claimConfirmed(now core.Instant, o claims.ClaimConfirmed) {
	f := r.flows[o.ID]
	if f == nil {
		r.applyClaims(now, r.claims.Finish(now, o.ID, claims.Outcome{Ran: core.NotRun}))
		return
	}
	f.startBefore = o.NotAfter
	r.place(now, f)
}

func (r *Router) claimRecorded(now core.Instant, o claims.RecordedOutcome) {
	f := r.flows[o.ID]
	if f == nil {
		return
	}
	f.claimed = false
	r.emit(Replay{Request: o.ID, Outcome: o.Outcome})
	r.record(now, "claims", "replayed", f, fmt.Sprint(o.Outcome.Status))
	r.finish(now, f, 0)
}
