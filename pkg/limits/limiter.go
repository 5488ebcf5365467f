package limits

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// Limiter admits requests at one Instance.
type Limiter struct {
	self    core.InstanceRef
	p       Params
	roster  membership.Roster
	buckets map[core.AccountID]*bucket
}

type bucket struct {
	level Units
	at    core.Instant
}

// New returns a limiter that refuses everything until SetRoster.
func New(self core.InstanceRef, p Params) *Limiter {
	return &Limiter{self: self, p: p.withDefaults(), buckets: map[core.AccountID]*bucket{}}
}

// SetRoster takes a roster from membership.RosterInForce.
func (l *Limiter) SetRoster(now core.Instant, r membership.Roster) { l.roster = r }

// HoldUntil takes the instant until which entitlements may be used.
func (l *Limiter) HoldUntil(until core.Instant) {}

// Admit charges a request to the account.
func (l *Limiter) Admit(now core.Instant, id core.RequestID, a Account, tokens int64) Admission {
	if tokens > a.Burst {
		return Admission{State: Refused, Refusal: core.Refuse(core.CodeOverBurst, "the request is larger than the account's burst")}
	}
	n := int64(max(1, len(l.roster.Members)))
	full := Units(a.Burst/n) * UnitsPerToken
	b := l.buckets[a.ID]
	if b == nil {
		b = &bucket{level: full, at: now}
		l.buckets[a.ID] = b
	}
	b.level = min(full, b.level+Units(now.Sub(b.at))*Units(a.Rate/n))
	b.at = now
	if b.level < Units(tokens)*UnitsPerToken {
		refusal := core.Refuse(core.CodeOverRate, "the account is over its rate")
		refusal.RetryAfter = time.Second
		return Admission{State: Refused, Refusal: refusal}
	}
	b.level -= Units(tokens) * UnitsPerToken
	return Admission{State: Granted}
}

// OnLoanRequest answers a peer that wants to borrow.
func (l *Limiter) OnLoanRequest(now core.Instant, from core.InstanceRef, a Account, q LoanRequest) LoanReply {
	return LoanReply{Borrower: q.Borrower, Seq: q.Seq, Account: q.Account}
}

// OnLoanReply takes a lender's reply.
func (l *Limiter) OnLoanReply(now core.Instant, from core.InstanceRef, r LoanReply) []Admitted {
	return nil
}

// Settle returns the unused part of a request's charge, once.
func (l *Limiter) Settle(now core.Instant, id core.RequestID, used int64) {}

// Reset drops all entitlements, loans and charges after a pause.
func (l *Limiter) Reset(now core.Instant, self core.InstanceRef) {
	*l = *New(self, l.p)
}

// Tick ends the waits that are over.
func (l *Limiter) Tick(now core.Instant) []Admitted { return nil }

// NextWake returns when the next Tick is due.
func (l *Limiter) NextWake() core.Instant { return core.Never }
