package limits

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// replyKey identifies a loan request. A duplicate gets the same reply as the first.
type replyKey struct {
	borrower core.InstanceRef
	seq      uint64
}

type replyExpiry struct {
	key       replyKey
	expiresAt core.Instant
}

// OnLoanRequest handles the loan request of a peer. It grants the loan in full, or
// refuses it and reports what is available. If a duplicate arrives after the cached
// reply expired, the capacity is reduced for one more term, but no tokens are
// created: the borrower ignores replies at that time.
func (l *Limiter) OnLoanRequest(now core.Instant, from core.InstanceRef, a Account, q LoanRequest) LoanReply {
	a = a.clamp()
	reply := LoanReply{Borrower: q.Borrower, Seq: q.Seq, Account: q.Account}
	if from != q.Borrower || a.ID != q.Account || q.Want <= 0 {
		return reply
	}
	l.expireReplies(now)
	key := replyKey{q.Borrower, q.Seq}
	if previous, ok := l.replies[key]; ok {
		return previous
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
	expired := 0
	for _, e := range l.replyExpiries {
		if e.expiresAt > now {
			break
		}
		delete(l.replies, e.key)
		expired++
	}
	l.replyExpiries = dropFirst(l.replyExpiries, expired)
}
