package limits

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// borrowerTermPercent is the part of a loan's term that the borrower uses,
	// counted on its own clock from the sending of the request. The loan then ends
	// at the borrower first when both clocks are off by up to 1%:
	// 0.98/0.99 < 1/1.01.
	borrowerTermPercent = 98
	// noReplyRetryAfter is the minimum RetryAfter when a lender did not reply. It
	// would probably not reply to an earlier retry either.
	noReplyRetryAfter = time.Second
	// minRetryAfter keeps a refused caller from retrying within a peer round trip.
	minRetryAfter = 50 * time.Millisecond
)

// pendingRequest is a request that waits for loans.
type pendingRequest struct {
	id                 core.RequestID
	bucket             *bucket
	amount             Units
	reserved           Units // from the bucket's entitlement
	loanCharges        []loanCharge
	lenders            []lender
	loanRequests       []*sentLoanRequest
	outstanding        int // loan requests without a reply
	deadline           core.Instant
	entitlementLost    bool // reserved was dropped by a roster change
	availableRequested bool // the second round, for the reported Available, was sent
}

// lender is another home Instance of the account.
type lender struct {
	id           core.InstanceID
	requested    bool
	unresponsive bool
	// From the LoanReply that refused the loan.
	available  Units
	blockedFor time.Duration
}

// sentLoanRequest is a loan request that this Instance sent. It is kept until
// expiresAt, so that a reply after the timeout still counts.
type sentLoanRequest struct {
	seq       uint64
	lender    core.InstanceID
	bucket    *bucket
	want      Units
	pending   *pendingRequest // nil after the reply, the timeout or the end of the request
	timeoutAt core.Instant
	expiresAt core.Instant // end of the loan on the borrower's clock
	replied   bool
}

// borrow reserves the spendable entitlement and running loans, and requests loans
// from home Instances for the rest.
func (l *Limiter) borrow(now core.Instant, id core.RequestID, b *bucket, amount Units) Admission {
	p := &pendingRequest{id: id, bucket: b, amount: amount, deadline: now.Add(l.params.MaxWait)}
	for i := range b.homeSet {
		// The first lender rotates, so that the home Instances are used evenly.
		lenderID := b.homeSet[(i+int(l.seq%uint64(len(b.homeSet))))%len(b.homeSet)]
		if lenderID != l.self.ID {
			p.lenders = append(p.lenders, lender{id: lenderID})
		}
	}
	fromEntitlement := l.spendable(now, b)
	if len(p.lenders) == 0 || l.params.DisableBorrowing {
		return refuseOverRate(b, amount-fromEntitlement-b.borrowedLevel(), []time.Duration{b.blockedFor(now)}, false)
	}
	p.loanCharges, _ = chargeLoans(b, amount)
	p.reserved = fromEntitlement
	b.level -= p.reserved
	b.reserved += p.reserved
	b.waiting++
	l.pending[id] = p
	return Admission{State: Borrowing, LoanRequests: l.requestMore(now, p)}
}

// shortfall returns the amount that the request still lacks. Loans that ended
// while it waited don't count.
func (p *pendingRequest) shortfall(now core.Instant) Units {
	shortfall := p.amount - p.reserved
	for _, lc := range p.loanCharges {
		if now < lc.loan.expiresAt {
			shortfall -= lc.amount
		}
	}
	return shortfall
}

// requestMore requests loans from as many of the remaining lenders as the
// shortfall needs. When all were asked, it makes one second round for what they
// reported as available.
func (l *Limiter) requestMore(now core.Instant, p *pendingRequest) []OutboundLoanRequest {
	shortfall := p.shortfall(now)
	var unasked []*lender
	for i := range p.lenders {
		if !p.lenders[i].requested {
			unasked = append(unasked, &p.lenders[i])
		}
	}
	if len(unasked) == 0 {
		return l.requestAvailable(now, p, shortfall)
	}
	capacity := max(1, p.bucket.burst/Units(len(p.bucket.homeSet)))
	count := min(len(unasked), int((shortfall+capacity-1)/capacity))
	var loans []OutboundLoanRequest
	for i, lender := range unasked[:count] {
		want := shortfall / Units(count-i)
		shortfall -= want
		lender.requested = true
		loans = append(loans, l.newLoanRequest(now, p, lender.id, want))
	}
	return loans
}

// requestAvailable requests what the lenders reported as available. It does so
// once for a request, and only if the sum covers the shortfall.
func (l *Limiter) requestAvailable(now core.Instant, p *pendingRequest, shortfall Units) []OutboundLoanRequest {
	var sum Units
	for _, lender := range p.lenders {
		sum += lender.available
	}
	if p.availableRequested || sum < shortfall {
		return nil
	}
	p.availableRequested = true
	var loans []OutboundLoanRequest
	for i := range p.lenders {
		lender := &p.lenders[i]
		want := min(shortfall, lender.available)
		lender.available = 0
		if want > 0 {
			shortfall -= want
			loans = append(loans, l.newLoanRequest(now, p, lender.id, want))
		}
	}
	return loans
}

func (l *Limiter) newLoanRequest(now core.Instant, p *pendingRequest, to core.InstanceID, want Units) OutboundLoanRequest {
	l.seq++
	term := l.params.LoanTerm * borrowerTermPercent / 100
	sent := &sentLoanRequest{
		seq:       l.seq,
		lender:    to,
		bucket:    p.bucket,
		want:      want,
		pending:   p,
		timeoutAt: now.Add(l.params.ReplyTimeout),
		expiresAt: now.Add(term),
	}
	l.loanRequests[l.seq] = sent
	p.loanRequests = append(p.loanRequests, sent)
	l.requestsByTimeout = append(l.requestsByTimeout, l.seq)
	l.requestsByExpiry = append(l.requestsByExpiry, l.seq)
	p.outstanding++
	q := LoanRequest{Borrower: l.self, Seq: l.seq, Account: p.bucket.limit.ID, Want: want}
	return OutboundLoanRequest{To: to, Request: q}
}

// OnLoanReply handles a lender's reply. Only the first reply to a loan request
// counts, also after the timeout: the loan then serves later requests until it
// ends.
func (l *Limiter) OnLoanReply(now core.Instant, from core.InstanceRef, r LoanReply) []AdmissionUpdate {
	l.advance(now)
	sent := l.loanRequests[r.Seq]
	if sent == nil || r.Borrower != l.self || from.ID != sent.lender || sent.replied {
		return nil
	}
	sent.replied = true
	if now >= sent.expiresAt {
		return nil
	}
	p := sent.pending
	if r.Granted == sent.want {
		l.addLoan(sent, p)
	}
	if p == nil {
		return nil
	}
	sent.pending = nil
	p.outstanding--
	if r.Granted != sent.want {
		p.findLender(sent.lender).available = r.Available
		p.findLender(sent.lender).blockedFor = r.BlockedFor
	}
	return l.resume(now, p)
}

// addLoan adds a granted loan to the account's borrowed loans. If the request
// still waits, all of the loan is charged to it.
func (l *Limiter) addLoan(sent *sentLoanRequest, p *pendingRequest) {
	loan := &borrowedLoan{expiresAt: sent.expiresAt, level: sent.want}
	b := sent.bucket
	if p != nil {
		p.loanCharges = append(p.loanCharges, loanCharge{loan, sent.want})
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

// resume grants the request once its amount is covered. Otherwise, when no loan
// request is outstanding or the deadline has passed, it requests further loans or
// refuses.
func (l *Limiter) resume(now core.Instant, p *pendingRequest) []AdmissionUpdate {
	p.bucket.advance(now)
	shortfall := p.shortfall(now)
	reservedUsable := p.reserved == 0 || now < l.entitlementExpiry
	if shortfall <= 0 && reservedUsable && now < p.deadline {
		return []AdmissionUpdate{{p.id, l.grantBorrow(now, p)}}
	}
	if p.outstanding > 0 && now < p.deadline {
		return nil
	}
	if now < p.deadline && !p.entitlementLost && reservedUsable {
		if loans := l.requestMore(now, p); len(loans) > 0 {
			return []AdmissionUpdate{{p.id, Admission{State: Borrowing, LoanRequests: loans}}}
		}
	}
	return []AdmissionUpdate{{p.id, l.refuseBorrow(now, p, shortfall)}}
}

// grantBorrow converts the reserved amount and the loans into the charge.
func (l *Limiter) grantBorrow(now core.Instant, p *pendingRequest) Admission {
	b := p.bucket
	c := charge{bucket: b, fromEntitlement: p.reserved}
	if p.reserved > 0 {
		b.recordMinimum()
		b.reserved -= p.reserved
		b.chargeCount++
		c.seq = b.chargeCount
	}
	for _, lc := range p.loanCharges {
		if now < lc.loan.expiresAt {
			c.loanCharges = append(c.loanCharges, lc)
		}
	}
	l.charges[p.id] = c
	l.removePending(p)
	return Admission{State: Granted}
}

// refuseBorrow returns the reserved amount and the loans, and refuses the request.
func (l *Limiter) refuseBorrow(now core.Instant, p *pendingRequest, shortfall Units) Admission {
	b := p.bucket
	b.reserved -= p.reserved
	b.level += p.reserved
	for _, lc := range p.loanCharges {
		if now < lc.loan.expiresAt {
			lc.loan.level += lc.amount
		}
	}
	l.removePending(p)
	incomplete := p.entitlementLost || p.outstanding > 0
	var blocked []time.Duration
	if b.share.parts > 0 {
		blocked = append(blocked, b.blockedFor(now))
	}
	for _, lender := range p.lenders {
		incomplete = incomplete || lender.unresponsive
		shortfall -= lender.available
		blocked = append(blocked, lender.blockedFor)
	}
	return refuseOverRate(b, shortfall, blocked, incomplete)
}

func (l *Limiter) removePending(p *pendingRequest) {
	p.bucket.waiting--
	delete(l.pending, p.id)
	for _, sent := range p.loanRequests {
		sent.pending = nil
	}
}

// refuseOverRate refuses a request with the given shortfall. RetryAfter is the time
// in which the home Instances refill that much, given how long the refill of each
// is blocked. incomplete says that not all of them replied.
func refuseOverRate(b *bucket, shortfall Units, blocked []time.Duration, incomplete bool) Admission {
	if b.limit.Rate == 0 {
		return refuse(core.CodeOverRate, "the account's tokens are used up and it has no rate", 0)
	}
	rate := float64(b.limit.Rate) / float64(len(blocked)) * refillNumerator / refillDenominator
	wait := max(minRetryAfter, refillWait(max(0, shortfall), rate, blocked))
	if incomplete {
		message := "not all home instances of the account answered"
		return refuse(core.CodeNoCapacity, message, max(wait, noReplyRetryAfter))
	}
	return refuse(core.CodeOverRate, "the account is over its rate", wait)
}

// refillWait returns the time in which buckets together refill the shortfall. Each
// refills rate units per nanosecond once it is no longer blocked.
func refillWait(shortfall Units, rate float64, blocked []time.Duration) time.Duration {
	slices.Sort(blocked)
	var wait, sum time.Duration
	for i, delay := range blocked {
		sum += delay
		count := time.Duration(i + 1)
		wait = (time.Duration(float64(shortfall)/rate)+sum)/count + 1
		if i+1 == len(blocked) || wait <= blocked[i+1] {
			break
		}
	}
	return wait
}

// expireLoanRequests ends the wait for replies that timed out, and deletes the loan
// requests whose loan would have ended.
func (l *Limiter) expireLoanRequests(now core.Instant) []AdmissionUpdate {
	var out []AdmissionUpdate
	for len(l.requestsByTimeout) > 0 && l.loanRequests[l.requestsByTimeout[0]].timeoutAt <= now {
		sent := l.loanRequests[l.requestsByTimeout[0]]
		l.requestsByTimeout = l.requestsByTimeout[1:]
		p := sent.pending
		if p == nil {
			continue
		}
		sent.pending = nil
		p.outstanding--
		p.findLender(sent.lender).unresponsive = true
		out = append(out, l.resume(now, p)...)
	}
	for len(l.requestsByExpiry) > 0 && l.loanRequests[l.requestsByExpiry[0]].expiresAt <= now {
		delete(l.loanRequests, l.requestsByExpiry[0])
		l.requestsByExpiry = l.requestsByExpiry[1:]
	}
	return out
}
