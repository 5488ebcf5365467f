package limits

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limiter admits requests at one Instance.
type Limiter struct {
	self core.InstanceRef
	p    Params

	history   []held // rosters in order of adoption
	effective int    // index in history of the latest roster whose from has come
	holdUntil core.Instant

	accounts map[core.AccountID]*bucket
	charged  map[core.RequestID]charge
	pending  map[core.RequestID]*pending
	peak     int // most accounts since the map was made

	seq       uint64
	asks      map[uint64]*ask
	unread    []uint64 // asks by time of timeout
	unended   []uint64 // asks by end of their term
	served    map[servedKey]LoanReply
	servedEnd []servedEntry // by time of expiry
	nextSweep core.Instant
}

// charge is what a request took, for its settlement.
type charge struct {
	bucket *bucket
	seq    uint64
	own    Units
	loans  []part
}

// part is an amount taken from a borrowed bucket.
type part struct {
	from   *borrowed
	amount Units
}

// New returns a limiter that refuses everything until SetRoster and
// SetEntitlementExpiry.
func New(self core.InstanceRef, p Params) *Limiter {
	l := &Limiter{p: p.withDefaults()}
	l.Reset(0, self)
	return l
}

// Reset drops all entitlements, loans, waiting requests and charges after a
// pause, and goes on as a new incarnation.
func (l *Limiter) Reset(now core.Instant, self core.InstanceRef) {
	*l = Limiter{
		self:      self,
		p:         l.p,
		history:   []held{{none: true, from: now}},
		accounts:  map[core.AccountID]*bucket{},
		charged:   map[core.RequestID]charge{},
		pending:   map[core.RequestID]*pending{},
		asks:      map[uint64]*ask{},
		served:    map[servedKey]LoanReply{},
		nextSweep: now.Add(l.p.IdleSweepInterval),
	}
}

// SetEntitlementExpiry takes the instant until which entitlements may be used, from
// membership.SetEntitlementExpiry.
func (l *Limiter) SetEntitlementExpiry(until core.Instant) { l.holdUntil = until }

// clean cuts the limit to what the arithmetic takes.
func (a Account) clean() Account {
	a.Rate = min(max(a.Rate, 0), MaxTokens)
	a.Burst = min(max(a.Burst, 0), MaxTokens)
	return a
}

// account returns the bucket of an account, refilled up to now.
func (l *Limiter) account(now core.Instant, a Account) *bucket {
	l.advance(now)
	b := l.accounts[a.ID]
	if b == nil {
		b = l.newAccount(now, a)
	}
	b.touch(now)
	if b.limit != a {
		b.setLimit(a)
	}
	return b
}

// newAccount makes a bucket with what it would hold if it had been kept since
// this Instance got the share.
func (l *Limiter) newAccount(now core.Instant, a Account) *bucket {
	b := newBucket(now, a)
	b.share = l.currentShare(a.ID)
	latest := &l.history[len(l.history)-1]
	b.home = HomeSet(latest.roster, a.ID, l.p.HomeSize)
	l.accounts[a.ID] = b
	l.peak = max(l.peak, len(l.accounts))
	if b.share.k == 0 || a.Rate == 0 {
		return b
	}
	full := time.Duration(float64(a.Burst) / float64(a.Rate) * 1.05 * 1e9)
	since := l.heldSince(a.ID, b.share, now.Add(-full))
	if since < now {
		b.at = since
		b.refill(now)
	}
	return b
}

// Admit charges a request to the account: from the local entitlement and running
// loans when they suffice, else after borrowing from the account's home Instances.
func (l *Limiter) Admit(now core.Instant, id core.RequestID, a Account, tokens int64) Admission {
	a = a.clean()
	tokens = max(0, tokens)
	if tokens > a.Burst {
		message := fmt.Sprintf("the request needs %d tokens, and the account's burst is %d", tokens, a.Burst)
		return refused(core.CodeOverBurst, message, 0)
	}
	b := l.account(now, a)
	if len(b.home) == 0 {
		return refused(core.CodeNotConfigured, "no roster of instances is in force yet", time.Second)
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
	if now >= l.holdUntil {
		return 0
	}
	return b.available()
}

// grant charges running loans first, as they end soon, then the entitlement.
func (l *Limiter) grant(id core.RequestID, b *bucket, amount Units) {
	c := charge{bucket: b}
	c.loans, amount = takeBorrowed(b, amount)
	c.own = amount
	if amount > 0 {
		c.seq = b.charge(amount)
	}
	l.charged[id] = c
}

// takeBorrowed takes up to amount from the running loans and returns the rest.
func takeBorrowed(b *bucket, amount Units) ([]part, Units) {
	var parts []part
	for _, loan := range b.borrowed {
		taken := min(loan.level, amount)
		if taken == 0 {
			continue
		}
		loan.level -= taken
		amount -= taken
		parts = append(parts, part{loan, taken})
	}
	return parts, amount
}

// Settle returns the unused part of a request's charge to the buckets that were
// charged. Only the first call for a request counts. Tokens used beyond the
// charge are taken from the entitlement, which may make it negative.
func (l *Limiter) Settle(now core.Instant, id core.RequestID, used int64) {
	c, ok := l.charged[id]
	if !ok {
		return
	}
	delete(l.charged, id)
	l.advance(now)
	total := c.own
	for _, p := range c.loans {
		total += p.amount
	}
	used = min(max(used, 0), MaxTokens)
	unused := total - Units(used)*UnitsPerToken
	c.bucket.touch(now)
	if unused < 0 {
		l.chargeExcess(now, c.bucket, -unused)
		return
	}
	own := min(unused, c.own)
	// A dropped bucket was full, so a refund would not have fitted in.
	if own > 0 && l.accounts[c.bucket.limit.ID] == c.bucket {
		c.bucket.refund(c.seq, own)
	}
	unused -= own
	for _, p := range c.loans {
		back := min(unused, p.amount)
		unused -= back
		if now < p.from.until {
			p.from.level += back
		}
	}
}

// chargeExcess takes tokens that a request used beyond its charge. The debt is
// limited to the burst.
func (l *Limiter) chargeExcess(now core.Instant, b *bucket, excess Units) {
	current := l.account(now, b.limit)
	current.charge(min(excess, max(0, current.burst+current.level)))
}

// Tick ends the waits that are over and drops idle accounts.
func (l *Limiter) Tick(now core.Instant) []AdmissionUpdate {
	l.advance(now)
	out := l.endAsks(now)
	l.forgetServed(now)
	if now >= l.nextSweep {
		l.nextSweep = now.Add(l.p.IdleSweepInterval)
		l.sweep(now)
	}
	return out
}

// NextWake returns when the next Tick is due.
func (l *Limiter) NextWake() core.Instant {
	wake := l.nextSweep
	if len(l.unread) > 0 {
		wake = min(wake, l.asks[l.unread[0]].timeout)
	}
	return wake
}

// sweep drops accounts that are idle and full, and then the map's spare memory.
func (l *Limiter) sweep(now core.Instant) {
	for id, b := range l.accounts {
		if now.Sub(b.usedAt) < l.p.IdleSweepInterval {
			continue
		}
		b.touch(now)
		if b.idle() {
			delete(l.accounts, id)
		}
	}
	// A Go map keeps its memory after deletions.
	if len(l.accounts)*4 < l.peak {
		smaller := make(map[core.AccountID]*bucket, len(l.accounts))
		for id, b := range l.accounts {
			smaller[id] = b
		}
		l.accounts = smaller
		l.peak = len(smaller)
	}
}

// AccountCount returns the number of accounts in memory.
func (l *Limiter) AccountCount() int { return len(l.accounts) }

func refused(code core.Code, message string, retryAfter time.Duration) Admission {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = retryAfter
	return Admission{State: Refused, Refusal: refusal}
}
