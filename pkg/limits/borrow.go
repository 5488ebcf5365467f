package limits

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// The borrower uses 98 hundredths of a loan's term, counted from its question on
// its own clock. With both clocks up to 1% off, 0.98/0.99 < 1/1.01.
const (
	borrowerTermPercent = 98
	// noReplyRetryAfter is the RetryAfter when a lender did not answer. Shorter
	// retries would meet the same silence.
	noReplyRetryAfter = time.Second
	// minRetryAfter keeps a refused caller from coming back within a peer round trip.
	minRetryAfter = 50 * time.Millisecond
)

// pendingRequest is a request that waits for loans.
type pendingRequest struct {
	id                 core.RequestID
	bucket             *bucket
	amount             Units
	reserved           Units // reserved in the bucket
	loanCharges        []loanCharge
	lenders            []lender
	loanRequests       []*sentLoanRequest
	outstanding        int // asks without a reply
	deadline           core.Instant
	entitlementLost    bool // own was lost to a roster change
	availableRequested bool // the lenders were asked again by what they said they have
}

// lender is a home Instance that can be asked.
type lender struct {
	id           core.InstanceID
	requested    bool
	unresponsive bool
	// After a refusal, as in LoanReply.
	available  Units
	blockedFor time.Duration
}

// sentLoanRequest is a loan request that this Instance sent.
type sentLoanRequest struct {
	seq       uint64
	lender    core.InstanceID
	bucket    *bucket
	want      Units
	pending   *pendingRequest // nil after the timeout
	timeoutAt core.Instant
	expiresAt core.Instant // end of the loan for the borrower
	replied   bool
}

// borrow reserves what there is and asks home Instances for the rest.
func (l *Limiter) borrow(now core.Instant, id core.RequestID, b *bucket, amount Units) Admission {
	p := &pendingRequest{id: id, bucket: b, amount: amount, deadline: now.Add(l.params.MaxWait)}
	for i := range b.homeSet {
		// The first lender rotates, so that the home Instances drain evenly.
		lenderID := b.homeSet[(i+int(l.seq%uint64(len(b.homeSet))))%len(b.homeSet)]
		if lenderID != l.self.ID {
			p.lenders = append(p.lenders, lender{id: lenderID})
		}
	}
	own := l.spendable(now, b)
	if len(p.lenders) == 0 || l.params.DisableBorrowing {
		return refuseOverRate(b, amount-own-b.borrowedLevel(), []time.Duration{b.blockedFor(now)}, false)
	}
	p.loanCharges, _ = chargeLoans(b, amount)
	p.reserved = own
	b.level -= p.reserved
	b.reserved += p.reserved
	b.waiting++
	l.pending[id] = p
	return Admission{State: Borrowing, LoanRequests: l.requestMore(now, p)}
}

// shortfall returns what the request still needs. Loans that ended while it waited
// don't count.
func (p *pendingRequest) shortfall(now core.Instant) Units {
	rest := p.amount - p.reserved
	for _, taken := range p.loanCharges {
		if now < taken.loan.expiresAt {
			rest -= taken.amount
		}
	}
	return rest
}

// requestMore asks as many of the remaining lenders as the missing amount calls for.
// When all have been asked, it asks again by what they said they have, once.
func (l *Limiter) requestMore(now core.Instant, p *pendingRequest) []OutboundLoanRequest {
	rest := p.shortfall(now)
	var free []*lender
	for i := range p.lenders {
		if !p.lenders[i].requested {
			free = append(free, &p.lenders[i])
		}
	}
	if len(free) == 0 {
		return l.requestAvailable(now, p, rest)
	}
	capacity := max(1, p.bucket.burst/Units(len(p.bucket.homeSet)))
	count := min(len(free), int((rest+capacity-1)/capacity))
	var loans []OutboundLoanRequest
	for i, lender := range free[:count] {
		want := rest / Units(count-i)
		rest -= want
		lender.requested = true
		loans = append(loans, l.newLoanRequest(now, p, lender.id, want))
	}
	return loans
}

func (l *Limiter) requestAvailable(now core.Instant, p *pendingRequest, rest Units) []OutboundLoanRequest {
	var sum Units
	for _, lender := range p.lenders {
		sum += lender.available
	}
	if p.availableRequested || sum < rest {
		return nil
	}
	p.availableRequested = true
	var loans []OutboundLoanRequest
	for i := range p.lenders {
		lender := &p.lenders[i]
		want := min(rest, lender.available)
		lender.available = 0
		if want > 0 {
			rest -= want
			loans = append(loans, l.newLoanRequest(now, p, lender.id, want))
		}
	}
	return loans
}

func (l *Limiter) newLoanRequest(now core.Instant, p *pendingRequest, to core.InstanceID, want Units) OutboundLoanRequest {
	l.seq++
	term := l.params.LoanTerm * borrowerTermPercent / 100
	a := &sentLoanRequest{
		seq:       l.seq,
		lender:    to,
		bucket:    p.bucket,
		want:      want,
		pending:   p,
		timeoutAt: now.Add(l.params.ReplyTimeout),
		expiresAt: now.Add(term),
	}
	l.loanRequests[l.seq] = a
	p.loanRequests = append(p.loanRequests, a)
	l.requestsByTimeout = append(l.requestsByTimeout, l.seq)
	l.requestsByExpiry = append(l.requestsByExpiry, l.seq)
	p.outstanding++
	q := LoanRequest{Borrower: l.self, Seq: l.seq, Account: p.bucket.limit.ID, Want: want}
	return OutboundLoanRequest{To: to, Request: q}
}

// OnLoanReply takes a lender's reply. The first reply to a question counts, also
// after its timeout: the loan then serves later requests until it ends.
func (l *Limiter) OnLoanReply(now core.Instant, from core.InstanceRef, r LoanReply) []AdmissionUpdate {
	l.advance(now)
	a := l.loanRequests[r.Seq]
	if a == nil || r.Borrower != l.self || from.ID != a.lender || a.replied {
		return nil
	}
	a.replied = true
	if now >= a.expiresAt {
		return nil
	}
	p := a.pending
	if r.Granted == a.want {
		l.addLoan(a, p)
	}
	if p == nil {
		return nil
	}
	a.pending = nil
	p.outstanding--
	if r.Granted != a.want {
		p.findLender(a.lender).available = r.Available
		p.findLender(a.lender).blockedFor = r.BlockedFor
	}
	return l.resume(now, p)
}

// addLoan puts a loan into the account's borrowed buckets; a waiting request
// takes all of it.
func (l *Limiter) addLoan(a *sentLoanRequest, p *pendingRequest) {
	loan := &borrowedLoan{expiresAt: a.expiresAt, level: a.want}
	b := a.bucket
	if p != nil {
		p.loanCharges = append(p.loanCharges, loanCharge{loan, a.want})
		loan.level = 0
	} else if current := l.buckets[b.limit.ID]; current != nil {
		b = current
	}
	at := len(b.borrowedLoans)
	for at > 0 && b.borrowedLoans[at-1].expiresAt > loan.expiresAt {
		at--
	}
	b.borrowedLoans = slices.Insert(b.borrowedLoans, at, loan)
}

func (p *pendingRequest) findLender(id core.InstanceID) *lender {
	i := slices.IndexFunc(p.lenders, func(l lender) bool { return l.id == id })
	return &p.lenders[i]
}

// resume grants, refuses or asks further once no question is open.
func (l *Limiter) resume(now core.Instant, p *pendingRequest) []AdmissionUpdate {
	p.bucket.advance(now)
	rest := p.shortfall(now)
	ownUsable := p.reserved == 0 || now < l.entitlementExpiry
	if rest <= 0 && ownUsable && now < p.deadline {
		return []AdmissionUpdate{{p.id, l.grantBorrow(now, p)}}
	}
	if p.outstanding > 0 && now < p.deadline {
		return nil
	}
	if now < p.deadline && !p.entitlementLost && ownUsable {
		if loans := l.requestMore(now, p); len(loans) > 0 {
			return []AdmissionUpdate{{p.id, Admission{State: Borrowing, LoanRequests: loans}}}
		}
	}
	return []AdmissionUpdate{{p.id, l.refuseBorrow(now, p, rest)}}
}

// grantBorrow turns what the request reserved into its charge.
func (l *Limiter) grantBorrow(now core.Instant, p *pendingRequest) Admission {
	b := p.bucket
	c := charge{bucket: b, fromEntitlement: p.reserved}
	if p.reserved > 0 {
		b.recordMinimum()
		b.reserved -= p.reserved
		b.chargeCount++
		c.seq = b.chargeCount
	}
	for _, taken := range p.loanCharges {
		if now < taken.loan.expiresAt {
			c.loanCharges = append(c.loanCharges, taken)
		}
	}
	l.charges[p.id] = c
	l.removePending(p)
	return Admission{State: Granted}
}

// refuseBorrow returns what the request reserved and refuses it.
func (l *Limiter) refuseBorrow(now core.Instant, p *pendingRequest, rest Units) Admission {
	b := p.bucket
	b.reserved -= p.reserved
	b.level += p.reserved
	for _, taken := range p.loanCharges {
		if now < taken.loan.expiresAt {
			taken.loan.level += taken.amount
		}
	}
	l.removePending(p)
	silent := p.entitlementLost || p.outstanding > 0
	var blocked []time.Duration
	if b.share.parts > 0 {
		blocked = append(blocked, b.blockedFor(now))
	}
	for _, lender := range p.lenders {
		silent = silent || lender.unresponsive
		rest -= lender.available
		blocked = append(blocked, lender.blockedFor)
	}
	return refuseOverRate(b, rest, blocked, silent)
}

func (l *Limiter) removePending(p *pendingRequest) {
	p.bucket.waiting--
	delete(l.pending, p.id)
	for _, a := range p.loanRequests {
		a.pending = nil
	}
}

// refuseOverRate refuses a request that lacks rest. RetryAfter is the time in which the
// home Instances refill that much, given how long each is blocked.
func refuseOverRate(b *bucket, rest Units, blocked []time.Duration, silent bool) Admission {
	if b.limit.Rate == 0 {
		return refuse(core.CodeOverRate, "the account's tokens are used up and it has no rate", 0)
	}
	part := float64(b.limit.Rate) / float64(len(blocked)) * refillNumerator / refillDenominator
	wait := max(minRetryAfter, refillWait(max(0, rest), part, blocked))
	if silent {
		message := "not all home instances of the account answered"
		return refuse(core.CodeNoCapacity, message, max(wait, noReplyRetryAfter))
	}
	return refuse(core.CodeOverRate, "the account is over its rate", wait)
}

// refillWait returns the time in which buckets that refill part units per
// nanosecond each, after being blocked, get rest together.
func refillWait(rest Units, part float64, blocked []time.Duration) time.Duration {
	slices.Sort(blocked)
	var wait, sum time.Duration
	for i, until := range blocked {
		sum += until
		count := time.Duration(i + 1)
		wait = (time.Duration(float64(rest)/part)+sum)/count + 1
		if i+1 == len(blocked) || wait <= blocked[i+1] {
			break
		}
	}
	return wait
}

// expireLoanRequests ends the questions whose timeout has come and forgets those whose loan
// would have ended.
func (l *Limiter) expireLoanRequests(now core.Instant) []AdmissionUpdate {
	var out []AdmissionUpdate
	for len(l.requestsByTimeout) > 0 && l.loanRequests[l.requestsByTimeout[0]].timeoutAt <= now {
		a := l.loanRequests[l.requestsByTimeout[0]]
		l.requestsByTimeout = l.requestsByTimeout[1:]
		p := a.pending
		if p == nil {
			continue
		}
		a.pending = nil
		p.outstanding--
		p.findLender(a.lender).unresponsive = true
		out = append(out, l.resume(now, p)...)
	}
	for len(l.requestsByExpiry) > 0 && l.loanRequests[l.requestsByExpiry[0]].expiresAt <= now {
		delete(l.loanRequests, l.requestsByExpiry[0])
		l.requestsByExpiry = l.requestsByExpiry[1:]
	}
	return out
}
