package limits

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// servedKey names a loan request. A duplicate gets the first reply again.
type servedKey struct {
	borrower core.InstanceRef
	seq      uint64
}

type servedEntry struct {
	key   servedKey
	until core.Instant
}

// OnLoanRequest answers a peer that wants to borrow: all that it wants, or
// nothing and what there is. A request that comes again after its reply was
// forgotten costs capacity for one more term but creates nothing: the borrower
// has closed the question by then.
func (l *Limiter) OnLoanRequest(now core.Instant, from core.InstanceRef, a Account, q LoanRequest) LoanReply {
	a = a.clean()
	reply := LoanReply{Borrower: q.Borrower, Seq: q.Seq, Account: q.Account}
	if from != q.Borrower || a.ID != q.Account || q.Want <= 0 {
		return reply
	}
	l.forgetServed(now)
	key := servedKey{q.Borrower, q.Seq}
	if first, ok := l.served[key]; ok {
		return first
	}
	b := l.account(now, a)
	available := l.spendable(now, b)
	if available < q.Want {
		reply.Available = available
		reply.BlockedFor = b.blockedFor(now)
		return reply
	}
	b.usedAt = now
	b.lend(q.Want, now.Add(l.p.LoanTerm))
	reply.Granted = q.Want
	l.served[key] = reply
	l.servedEnd = append(l.servedEnd, servedEntry{key, now.Add(2 * l.p.LoanTerm)})
	return reply
}

func (l *Limiter) forgetServed(now core.Instant) {
	ended := 0
	for _, e := range l.servedEnd {
		if e.until > now {
			break
		}
		delete(l.served, e.key)
		ended++
	}
	l.servedEnd = trim(l.servedEnd, ended)
}
