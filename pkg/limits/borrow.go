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
	// unreachableRetry is the RetryAfter when a lender did not answer. Shorter
	// retries would meet the same silence.
	unreachableRetry = time.Second
	// minRetry keeps a refused caller from coming back within a peer round trip.
	minRetry = 50 * time.Millisecond
)

// pending is a request that waits for loans.
type pending struct {
	id       core.RequestID
	bucket   *bucket
	amount   Units
	own      Units // reserved in the bucket
	parts    []part
	lenders  []lender
	asks     []*ask
	open     int // asks without a reply
	deadline core.Instant
	lost     bool // own was lost to a roster change
	hinted   bool // the lenders were asked again by what they said they have
}

// lender is a home Instance that can be asked.
type lender struct {
	id     core.InstanceID
	asked  bool
	silent bool
	// After a refusal, as in LoanReply.
	has     Units
	blocked time.Duration
}

// ask is a loan request that this Instance sent.
type ask struct {
	seq      uint64
	lender   core.InstanceID
	bucket   *bucket
	want     Units
	pending  *pending // nil after the timeout
	timeout  core.Instant
	until    core.Instant // end of the loan for the borrower
	answered bool
}

// borrow reserves what there is and asks home Instances for the rest.
func (l *Limiter) borrow(now core.Instant, id core.RequestID, b *bucket, amount Units) Admission {
	p := &pending{id: id, bucket: b, amount: amount, deadline: now.Add(l.p.MaxWait)}
	for i := range b.home {
		// The first lender rotates, so that the home Instances drain evenly.
		lenderID := b.home[(i+int(l.seq%uint64(len(b.home))))%len(b.home)]
		if lenderID != l.self.ID {
			p.lenders = append(p.lenders, lender{id: lenderID})
		}
	}
	own := l.spendable(now, b)
	if len(p.lenders) == 0 || l.p.DisableBorrowing {
		return overRate(b, amount-own-b.borrowedLevel(), []time.Duration{b.blockedFor(now)}, false)
	}
	p.parts, _ = takeBorrowed(b, amount)
	p.own = own
	b.level -= p.own
	b.reserved += p.own
	b.waiting++
	l.pending[id] = p
	return Admission{State: Borrowing, LoanRequests: l.askMore(now, p)}
}

// missing returns what the request still needs. Loans that ended while it waited
// don't count.
func (p *pending) missing(now core.Instant) Units {
	rest := p.amount - p.own
	for _, taken := range p.parts {
		if now < taken.from.until {
			rest -= taken.amount
		}
	}
	return rest
}

// askMore asks as many of the remaining lenders as the missing amount calls for.
// When all have been asked, it asks again by what they said they have, once.
func (l *Limiter) askMore(now core.Instant, p *pending) []OutboundLoanRequest {
	rest := p.missing(now)
	var free []*lender
	for i := range p.lenders {
		if !p.lenders[i].asked {
			free = append(free, &p.lenders[i])
		}
	}
	if len(free) == 0 {
		return l.askByHints(now, p, rest)
	}
	capacity := max(1, p.bucket.burst/Units(len(p.bucket.home)))
	count := min(len(free), int((rest+capacity-1)/capacity))
	var loans []OutboundLoanRequest
	for i, lender := range free[:count] {
		want := rest / Units(count-i)
		rest -= want
		lender.asked = true
		loans = append(loans, l.ask(now, p, lender.id, want))
	}
	return loans
}

func (l *Limiter) askByHints(now core.Instant, p *pending, rest Units) []OutboundLoanRequest {
	var sum Units
	for _, lender := range p.lenders {
		sum += lender.has
	}
	if p.hinted || sum < rest {
		return nil
	}
	p.hinted = true
	var loans []OutboundLoanRequest
	for i := range p.lenders {
		lender := &p.lenders[i]
		want := min(rest, lender.has)
		lender.has = 0
		if want > 0 {
			rest -= want
			loans = append(loans, l.ask(now, p, lender.id, want))
		}
	}
	return loans
}

func (l *Limiter) ask(now core.Instant, p *pending, to core.InstanceID, want Units) OutboundLoanRequest {
	l.seq++
	term := l.p.LoanTerm * borrowerTermPercent / 100
	a := &ask{
		seq:     l.seq,
		lender:  to,
		bucket:  p.bucket,
		want:    want,
		pending: p,
		timeout: now.Add(l.p.ReplyTimeout),
		until:   now.Add(term),
	}
	l.asks[l.seq] = a
	p.asks = append(p.asks, a)
	l.unread = append(l.unread, l.seq)
	l.unended = append(l.unended, l.seq)
	p.open++
	q := LoanRequest{Borrower: l.self, Seq: l.seq, Account: p.bucket.limit.ID, Want: want}
	return OutboundLoanRequest{To: to, Request: q}
}

// OnLoanReply takes a lender's reply. The first reply to a question counts, also
// after its timeout: the loan then serves later requests until it ends.
func (l *Limiter) OnLoanReply(now core.Instant, from core.InstanceRef, r LoanReply) []AdmissionUpdate {
	l.advance(now)
	a := l.asks[r.Seq]
	if a == nil || r.Borrower != l.self || from.ID != a.lender || a.answered {
		return nil
	}
	a.answered = true
	if now >= a.until {
		return nil
	}
	p := a.pending
	if r.Granted == a.want {
		l.receive(a, p)
	}
	if p == nil {
		return nil
	}
	a.pending = nil
	p.open--
	if r.Granted != a.want {
		p.lender(a.lender).has = r.Available
		p.lender(a.lender).blocked = r.BlockedFor
	}
	return l.proceed(now, p)
}

// receive puts a loan into the account's borrowed buckets; a waiting request
// takes all of it.
func (l *Limiter) receive(a *ask, p *pending) {
	loan := &borrowed{until: a.until, level: a.want}
	b := a.bucket
	if p != nil {
		p.parts = append(p.parts, part{loan, a.want})
		loan.level = 0
	} else if current := l.accounts[b.limit.ID]; current != nil {
		b = current
	}
	at := len(b.borrowed)
	for at > 0 && b.borrowed[at-1].until > loan.until {
		at--
	}
	b.borrowed = slices.Insert(b.borrowed, at, loan)
}

func (p *pending) lender(id core.InstanceID) *lender {
	i := slices.IndexFunc(p.lenders, func(l lender) bool { return l.id == id })
	return &p.lenders[i]
}

// proceed grants, refuses or asks further once no question is open.
func (l *Limiter) proceed(now core.Instant, p *pending) []AdmissionUpdate {
	p.bucket.touch(now)
	rest := p.missing(now)
	ownUsable := p.own == 0 || now < l.holdUntil
	if rest <= 0 && ownUsable && now < p.deadline {
		return []AdmissionUpdate{{p.id, l.finish(now, p)}}
	}
	if p.open > 0 && now < p.deadline {
		return nil
	}
	if now < p.deadline && !p.lost && ownUsable {
		if loans := l.askMore(now, p); len(loans) > 0 {
			return []AdmissionUpdate{{p.id, Admission{State: Borrowing, LoanRequests: loans}}}
		}
	}
	return []AdmissionUpdate{{p.id, l.giveUp(now, p, rest)}}
}

// finish turns what the request reserved into its charge.
func (l *Limiter) finish(now core.Instant, p *pending) Admission {
	b := p.bucket
	c := charge{bucket: b, own: p.own}
	if p.own > 0 {
		b.note()
		b.reserved -= p.own
		b.charges++
		c.seq = b.charges
	}
	for _, taken := range p.parts {
		if now < taken.from.until {
			c.loans = append(c.loans, taken)
		}
	}
	l.charged[p.id] = c
	l.close(p)
	return Admission{State: Granted}
}

// giveUp returns what the request reserved and refuses it.
func (l *Limiter) giveUp(now core.Instant, p *pending, rest Units) Admission {
	b := p.bucket
	b.reserved -= p.own
	b.level += p.own
	for _, taken := range p.parts {
		if now < taken.from.until {
			taken.from.level += taken.amount
		}
	}
	l.close(p)
	silent := p.lost || p.open > 0
	var blocked []time.Duration
	if b.share.k > 0 {
		blocked = append(blocked, b.blockedFor(now))
	}
	for _, lender := range p.lenders {
		silent = silent || lender.silent
		rest -= lender.has
		blocked = append(blocked, lender.blocked)
	}
	return overRate(b, rest, blocked, silent)
}

func (l *Limiter) close(p *pending) {
	p.bucket.waiting--
	delete(l.pending, p.id)
	for _, a := range p.asks {
		a.pending = nil
	}
}

// overRate refuses a request that lacks rest. RetryAfter is the time in which the
// home Instances refill that much, given how long each is blocked.
func overRate(b *bucket, rest Units, blocked []time.Duration, silent bool) Admission {
	if b.limit.Rate == 0 {
		return refused(core.CodeOverRate, "the account's tokens are used up and it has no rate", 0)
	}
	part := float64(b.limit.Rate) / float64(len(blocked)) * refillNumerator / refillDenominator
	wait := max(minRetry, refillWait(max(0, rest), part, blocked))
	if silent {
		message := "not all home instances of the account answered"
		return refused(core.CodeNoCapacity, message, max(wait, unreachableRetry))
	}
	return refused(core.CodeOverRate, "the account is over its rate", wait)
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

// endAsks ends the questions whose timeout has come and forgets those whose loan
// would have ended.
func (l *Limiter) endAsks(now core.Instant) []AdmissionUpdate {
	var out []AdmissionUpdate
	for len(l.unread) > 0 && l.asks[l.unread[0]].timeout <= now {
		a := l.asks[l.unread[0]]
		l.unread = l.unread[1:]
		p := a.pending
		if p == nil {
			continue
		}
		a.pending = nil
		p.open--
		p.lender(a.lender).silent = true
		out = append(out, l.proceed(now, p)...)
	}
	for len(l.unended) > 0 && l.asks[l.unended[0]].until <= now {
		delete(l.asks, l.unended[0])
		l.unended = l.unended[1:]
	}
	return out
}
