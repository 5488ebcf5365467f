package limits

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limiter admits requests at one Instance.
type Limiter struct {
	self   core.InstanceRef
	params Params

	history           []adoptedRoster // rosters in order of adoption
	effective         int             // index in history of the latest roster whose from has come
	entitlementExpiry core.Instant

	buckets     map[core.AccountID]*bucket
	charges     map[core.RequestID]charge
	pending     map[core.RequestID]*pendingRequest
	peakBuckets int // most accounts since the map was made

	seq               uint64
	loanRequests      map[uint64]*sentLoanRequest
	requestsByTimeout []uint64 // asks by time of timeout
	requestsByExpiry  []uint64 // asks by end of their term
	replies           map[replyKey]LoanReply
	replyExpiries     []replyExpiry // by time of expiry
	nextSweepAt       core.Instant
}

// charge is what a request took, for its settlement.
type charge struct {
	bucket          *bucket
	seq             uint64
	fromEntitlement Units
	loanCharges     []loanCharge
}

// loanCharge is an amount taken from a borrowed bucket.
type loanCharge struct {
	loan   *borrowedLoan
	amount Units
}

// New returns a limiter that refuses everything until SetRoster and
// SetEntitlementExpiry.
func New(self core.InstanceRef, p Params) *Limiter {
	l := &Limiter{params: p.withDefaults()}
	l.Reset(0, self)
	return l
}

// Reset drops all entitlements, loans, waiting requests and charges after a
// pause, and goes on as a new incarnation.
func (l *Limiter) Reset(now core.Instant, self core.InstanceRef) {
	*l = Limiter{
		self:         self,
		params:       l.params,
		history:      []adoptedRoster{{empty: true, effectiveAt: now}},
		buckets:      map[core.AccountID]*bucket{},
		charges:      map[core.RequestID]charge{},
		pending:      map[core.RequestID]*pendingRequest{},
		loanRequests: map[uint64]*sentLoanRequest{},
		replies:      map[replyKey]LoanReply{},
		nextSweepAt:  now.Add(l.params.IdleSweepInterval),
	}
}

// SetEntitlementExpiry takes the instant until which entitlements may be used, from
// membership.SetEntitlementExpiry.
func (l *Limiter) SetEntitlementExpiry(until core.Instant) { l.entitlementExpiry = until }

// clamp cuts the limit to what the arithmetic takes.
func (a Account) clamp() Account {
	a.Rate = min(max(a.Rate, 0), MaxTokens)
	a.Burst = min(max(a.Burst, 0), MaxTokens)
	return a
}

// bucketFor returns the bucket of an bucketFor, refilled up to now.
func (l *Limiter) bucketFor(now core.Instant, a Account) *bucket {
	l.advance(now)
	b := l.buckets[a.ID]
	if b == nil {
		b = l.addBucket(now, a)
	}
	b.advance(now)
	if b.limit != a {
		b.setLimit(a)
	}
	return b
}

// addBucket makes a bucket with what it would hold if it had been kept since
// this Instance got the share.
func (l *Limiter) addBucket(now core.Instant, a Account) *bucket {
	b := newBucket(now, a)
	b.share = l.currentShare(a.ID)
	latest := &l.history[len(l.history)-1]
	b.homeSet = HomeSet(latest.roster, a.ID, l.params.HomeSize)
	l.buckets[a.ID] = b
	l.peakBuckets = max(l.peakBuckets, len(l.buckets))
	if b.share.parts == 0 || a.Rate == 0 {
		return b
	}
	full := time.Duration(float64(a.Burst) / float64(a.Rate) * 1.05 * 1e9)
	since := l.shareHeldSince(a.ID, b.share, now.Add(-full))
	if since < now {
		b.lastRefill = since
		b.refill(now)
	}
	return b
}

// Admit charges a request to the account: from the local entitlement and running
// loans when they suffice, else after borrowing from the account's home Instances.
func (l *Limiter) Admit(now core.Instant, id core.RequestID, a Account, tokens int64) Admission {
	a = a.clamp()
	tokens = max(0, tokens)
	if tokens > a.Burst {
		message := fmt.Sprintf("the request needs %d tokens, and the account's burst is %d", tokens, a.Burst)
		return refuse(core.CodeOverBurst, message, 0)
	}
	b := l.bucketFor(now, a)
	if len(b.homeSet) == 0 {
		return refuse(core.CodeNotConfigured, "no roster of instances is in force yet", time.Second)
	}
	b.usedAt = now
	amount := Units(tokens) * UnitsPerToken
	own := l.spendable(now, b)
	if own+b.borrowedLevel() >= amount {
		l.grant(id, b, amount)
		return Admission{State: Granted}
	}
	return l.borrow(now, id, b, amount)
}

// spendable returns what the entitlement gives at now.
func (l *Limiter) spendable(now core.Instant, b *bucket) Units {
	if now >= l.entitlementExpiry {
		return 0
	}
	return b.available()
}

// grant charges running loans first, as they end soon, then the entitlement.
func (l *Limiter) grant(id core.RequestID, b *bucket, amount Units) {
	c := charge{bucket: b}
	c.loanCharges, amount = chargeLoans(b, amount)
	c.fromEntitlement = amount
	if amount > 0 {
		c.seq = b.charge(amount)
	}
	l.charges[id] = c
}

// chargeLoans takes up to amount from the running loans and returns the rest.
func chargeLoans(b *bucket, amount Units) ([]loanCharge, Units) {
	var parts []loanCharge
	for _, loan := range b.borrowedLoans {
		taken := min(loan.level, amount)
		if taken == 0 {
			continue
		}
		loan.level -= taken
		amount -= taken
		parts = append(parts, loanCharge{loan, taken})
	}
	return parts, amount
}

// Settle returns the unused part of a request's charge to the buckets that were
// charged. Only the first call for a request counts. Tokens used beyond the
// charge are taken from the entitlement, which may make it negative.
func (l *Limiter) Settle(now core.Instant, id core.RequestID, used int64) {
	c, ok := l.charges[id]
	if !ok {
		return
	}
	delete(l.charges, id)
	l.advance(now)
	total := c.fromEntitlement
	for _, p := range c.loanCharges {
		total += p.amount
	}
	used = min(max(used, 0), MaxTokens)
	unused := total - Units(used)*UnitsPerToken
	c.bucket.advance(now)
	if unused < 0 {
		l.chargeExcess(now, c.bucket, -unused)
		return
	}
	own := min(unused, c.fromEntitlement)
	// A dropped bucket was full, so a refund would not have fitted in.
	if own > 0 && l.buckets[c.bucket.limit.ID] == c.bucket {
		c.bucket.refund(c.seq, own)
	}
	unused -= own
	for _, p := range c.loanCharges {
		back := min(unused, p.amount)
		unused -= back
		if now < p.loan.expiresAt {
			p.loan.level += back
		}
	}
}

// chargeExcess takes tokens that a request used beyond its charge. The debt is
// limited to the burst.
func (l *Limiter) chargeExcess(now core.Instant, b *bucket, excess Units) {
	current := l.bucketFor(now, b.limit)
	current.charge(min(excess, max(0, current.burst+current.level)))
}

// Tick ends the waits that are over and drops idle accounts.
func (l *Limiter) Tick(now core.Instant) []AdmissionUpdate {
	l.advance(now)
	out := l.expireLoanRequests(now)
	l.expireReplies(now)
	if now >= l.nextSweepAt {
		l.nextSweepAt = now.Add(l.params.IdleSweepInterval)
		l.sweep(now)
	}
	return out
}

// NextWake returns when the next Tick is due.
func (l *Limiter) NextWake() core.Instant {
	wake := l.nextSweepAt
	if len(l.requestsByTimeout) > 0 {
		wake = min(wake, l.loanRequests[l.requestsByTimeout[0]].timeoutAt)
	}
	return wake
}

// sweep drops accounts that are idle and full, and then the map's spare memory.
func (l *Limiter) sweep(now core.Instant) {
	for id, b := range l.buckets {
		if now.Sub(b.usedAt) < l.params.IdleSweepInterval {
			continue
		}
		b.advance(now)
		if b.idle() {
			delete(l.buckets, id)
		}
	}
	// A Go map keeps its memory after deletions.
	if len(l.buckets)*4 < l.peakBuckets {
		smaller := make(map[core.AccountID]*bucket, len(l.buckets))
		for id, b := range l.buckets {
			smaller[id] = b
		}
		l.buckets = smaller
		l.peakBuckets = len(smaller)
	}
}

// AccountCount returns the number of accounts in memory.
func (l *Limiter) AccountCount() int { return len(l.buckets) }

func refuse(code core.Code, message string, retryAfter time.Duration) Admission {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = retryAfter
	return Admission{State: Refused, Refusal: refusal}
}
