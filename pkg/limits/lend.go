package limits

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// replyKey names a loan request. A duplicate gets the first reply again.
type replyKey struct {
	borrower core.InstanceRef
	seq      uint64
}

type replyExpiry struct {
	key       replyKey
	expiresAt core.Instant
}

// OnLoanRequest answers a peer that wants to borrow: all that it wants, or
// nothing and what there is. A request that comes again after its reply was
// forgotten costs capacity for one more term but creates nothing: the borrower
// has closed the question by then.
func (l *Limiter) OnLoanRequest(now core.Instant, from core.InstanceRef, a Account, q LoanRequest) LoanReply {
	a = a.clamp()
	reply := LoanReply{Borrower: q.Borrower, Seq: q.Seq, Account: q.Account}
	if from != q.Borrower || a.ID != q.Account || q.Want <= 0 {
		return reply
	}
	l.expireReplies(now)
	key := replyKey{q.Borrower, q.Seq}
	if first, ok := l.replies[key]; ok {
		return first
	}
	b := l.bucketFor(now, a)
	available := l.spendable(now, b)
	if available < q.Want {
		reply.Available = available
		reply.BlockedFor = b.blockedFor(now)
		return reply
	}
	b.usedAt = now
	b.lend(q.Want, now.Add(l.params.LoanTerm))
	reply.Granted = q.Want
	l.replies[key] = reply
	l.replyExpiries = append(l.replyExpiries, replyExpiry{key, now.Add(2 * l.params.LoanTerm)})
	return reply
}

func (l *Limiter) expireReplies(now core.Instant) {
	ended := 0
	for _, e := range l.replyExpiries {
		if e.expiresAt > now {
			break
		}
		delete(l.replies, e.key)
		ended++
	}
	l.replyExpiries = dropFirst(l.replyExpiries, ended)
}
