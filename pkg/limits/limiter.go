package limits

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limiter admits requests at one Instance. Its methods must be called from one
// goroutine.
type Limiter struct {
	self   core.InstanceRef
	params Params

	history           []adoptedRoster // rosters in order of adoption
	effective         int             // index in history of the latest roster that has taken effect
	entitlementExpiry core.Instant

	buckets     map[core.AccountID]*bucket
	charges     map[core.RequestID]charge
	pending     map[core.RequestID]*pendingRequest
	peakBuckets int // maximum of len(buckets) since the map was made

	seq               uint64
	loanRequests      map[uint64]*sentLoanRequest
	requestsByTimeout []uint64 // seqs of loanRequests by timeoutAt
	requestsByExpiry  []uint64 // seqs of loanRequests by expiresAt
	replies           map[replyKey]LoanReply
	replyExpiries     []replyExpiry // by expiresAt
	nextSweepAt       core.Instant
}

// charge records what was charged for a request, for its settlement.
type charge struct {
	bucket          *bucket
	seq             uint64
	fromEntitlement Units
	loanCharges     []loanCharge
}

// loanCharge is an amount charged to a borrowed loan.
type loanCharge struct {
	loan   *borrowedLoan
	amount Units
}

// New returns a Limiter that refuses everything until SetRoster was called, and has
// no entitlements until SetEntitlementExpiry was called too.
func New(self core.InstanceRef, p Params) *Limiter {
	l := &Limiter{params: p.withDefaults()}
	l.Reset(0, self)
	return l
}

// Reset drops all entitlements, loans, waiting requests and charges after a
// pause of the process, and continues as the incarnation self.
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

// SetEntitlementExpiry sets the instant until which entitlements may be used. The
// caller passes on membership.SetEntitlementExpiry.
func (l *Limiter) SetEntitlementExpiry(until core.Instant) { l.entitlementExpiry = until }

// clamp limits rate and burst to the range that the arithmetic supports.
func (a Account) clamp() Account {
	a.Rate = min(max(a.Rate, 0), MaxTokens)
	a.Burst = min(max(a.Burst, 0), MaxTokens)
	return a
}

// bucketFor returns the bucket of an account, advanced to now, and adds it when there
// is none.
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

// addBucket adds a bucket with the level that it would have if it had existed since
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
	fillTime := time.Duration(float64(a.Burst) / float64(a.Rate) * 1.05 * 1e9)
	since := l.shareHeldSince(a.ID, b.share, now.Add(-fillTime))
	if since < now {
		b.lastRefill = since
		b.refill(now)
	}
	return b
}

// Admit charges a request to the account. It grants immediately when running loans
// and the local entitlement suffice, and otherwise borrows from the account's home
// Instances. The caller must settle every granted request.
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
	fromEntitlement := l.spendable(now, b)
	if fromEntitlement+b.borrowedLevel() >= amount {
		l.grant(id, b, amount)
		return Admission{State: Granted}
	}
	return l.borrow(now, id, b, amount)
}

// spendable returns what can be spent or lent from the entitlement at now.
func (l *Limiter) spendable(now core.Instant, b *bucket) Units {
	if now >= l.entitlementExpiry {
		return 0
	}
	return b.available()
}

// grant charges running loans first, since they expire soon, and then the entitlement.
func (l *Limiter) grant(id core.RequestID, b *bucket, amount Units) {
	c := charge{bucket: b}
	c.loanCharges, amount = chargeLoans(b, amount)
	c.fromEntitlement = amount
	if amount > 0 {
		c.seq = b.charge(amount)
	}
	l.charges[id] = c
}

// chargeLoans charges up to amount to the running loans. It returns the charges and
// the amount that the loans did not cover.
func chargeLoans(b *bucket, amount Units) ([]loanCharge, Units) {
	var charges []loanCharge
	for _, loan := range b.borrowedLoans {
		amountFromLoan := min(loan.level, amount)
		if amountFromLoan == 0 {
			continue
		}
		loan.level -= amountFromLoan
		amount -= amountFromLoan
		charges = append(charges, loanCharge{loan, amountFromLoan})
	}
	return charges, amount
}

// Settle refunds the unused part of a request's charge to the bucket and the loans
// that were charged. Only the first call for a request has an effect. Tokens used
// beyond the charge are charged to the entitlement, which may become negative.
func (l *Limiter) Settle(now core.Instant, id core.RequestID, used int64) {
	c, ok := l.charges[id]
	if !ok {
		return
	}
	delete(l.charges, id)
	l.advance(now)
	total := c.fromEntitlement
	for _, lc := range c.loanCharges {
		total += lc.amount
	}
	used = min(max(used, 0), MaxTokens)
	unused := total - Units(used)*UnitsPerToken
	c.bucket.advance(now)
	if unused < 0 {
		l.chargeExcess(now, c.bucket, -unused)
		return
	}
	fromEntitlement := min(unused, c.fromEntitlement)
	// A bucket that was dropped since then was full and could not have kept a refund.
	if fromEntitlement > 0 && l.buckets[c.bucket.limit.ID] == c.bucket {
		c.bucket.refund(c.seq, fromEntitlement)
	}
	unused -= fromEntitlement
	for _, lc := range c.loanCharges {
		refund := min(unused, lc.amount)
		unused -= refund
		if now < lc.loan.expiresAt {
			lc.loan.level += refund
		}
	}
}

// chargeExcess charges tokens that a request used beyond its charge. The overdraft
// is limited to the burst.
func (l *Limiter) chargeExcess(now core.Instant, b *bucket, excess Units) {
	current := l.bucketFor(now, b.limit)
	current.charge(min(excess, max(0, current.burst+current.level)))
}

// Tick handles timeouts of loan requests, expires cached replies and drops idle
// accounts.
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

// sweep drops the buckets of idle accounts, and shrinks the map when most of it is
// unused.
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
	// A Go map keeps its memory after deletions, so it is copied.
	if len(l.buckets)*4 < l.peakBuckets {
		shrunk := make(map[core.AccountID]*bucket, len(l.buckets))
		for id, b := range l.buckets {
			shrunk[id] = b
		}
		l.buckets = shrunk
		l.peakBuckets = len(shrunk)
	}
}

// AccountCount returns the number of accounts in memory.
func (l *Limiter) AccountCount() int { return len(l.buckets) }

func refuse(code core.Code, message string, retryAfter time.Duration) Admission {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = retryAfter
	return Admission{State: Refused, Refusal: refusal}
}
