package limits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

var account = limits.Account{ID: "acme", Rate: 300, Burst: 900}

// bucketsFullAt is an instant at which the buckets of threeLimiters are full.
const bucketsFullAt = core.Instant(time.Minute)

// rosterOf returns a roster of size Instances in three DataCentres, whose handover is
// complete.
func rosterOf(size int) membership.Roster {
	r := membership.Roster{Epoch: 1, HandoverComplete: true}
	for i := range size {
		r.Members = append(r.Members, membership.Member{
			Ref:        core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
			DataCentre: core.DataCentreName(fmt.Sprintf("dc%d", i%3)),
		})
	}
	return r
}

// threeLimiters returns three Limiters that are the account's home set, with full buckets.
func threeLimiters() (map[core.InstanceID]*limits.Limiter, membership.Roster) {
	r := rosterOf(3)
	all := map[core.InstanceID]*limits.Limiter{}
	for _, m := range r.Members {
		l := limits.New(m.Ref, limits.Params{})
		l.SetEntitlementExpiry(core.Never)
		l.SetRoster(0, r)
		all[m.Ref.ID] = l
	}
	return all, r
}

func ref(id core.InstanceID) core.InstanceRef { return core.InstanceRef{ID: id, Incarnation: 1} }

// deliverLoanRequests delivers loan requests and their replies until none are left,
// and returns the last update.
func deliverLoanRequests(all map[core.InstanceID]*limits.Limiter, self core.InstanceID, now core.Instant, loans []limits.OutboundLoanRequest) (last limits.AdmissionUpdate) {
	for len(loans) > 0 {
		loan := loans[0]
		loans = loans[1:]
		reply := all[loan.To].OnLoanRequest(now, ref(self), account, loan.Request)
		for _, a := range all[self].OnLoanReply(now, ref(loan.To), reply) {
			last = a
			loans = append(loans, a.LoanRequests...)
		}
	}
	return last
}

// Guards against refusing a request that needs several lenders, and against lending
// more than is available.
func TestSeveralLendersLendTheFullBurstOnce(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	got := all["i000"].Admit(bucketsFullAt, "q1", account, account.Burst)
	is.Equal(got.State, limits.Borrowing)
	is.Equal(len(got.LoanRequests), 2)
	is.Equal(deliverLoanRequests(all, "i000", bucketsFullAt, got.LoanRequests).State, limits.Granted)
	later := bucketsFullAt.Add(100 * time.Millisecond)
	got = all["i001"].Admit(later, "q2", account, 60)
	end := deliverLoanRequests(all, "i001", later, got.LoanRequests)
	is.Equal(end.State, limits.Refused)
	is.Equal(end.Refusal.Code, core.CodeOverRate)
	is.Equal(end.Refusal.Ran, core.NotRun)
	// The capacity of the two lenders is lent, so only the third Instance refills.
	// It has 9.9 tokens after 100 ms, and the other 50.1 take 506 ms at 99 a second.
	is.True(end.Refusal.RetryAfter > 500*time.Millisecond)
	is.True(end.Refusal.RetryAfter < 510*time.Millisecond)
	retry := later.Add(end.Refusal.RetryAfter)
	got = all["i001"].Admit(retry, "q3", account, 60)
	is.Equal(deliverLoanRequests(all, "i001", retry, got.LoanRequests).State, limits.Granted) // RetryAfter was long enough
}

// Guards against a bucket that refills in place of the tokens that are reserved for a
// request that waits for a loan.
func TestReservedTokensReduceCapacity(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	got := all["i000"].Admit(bucketsFullAt, "q", account, 500)
	later := bucketsFullAt.Add(100 * time.Millisecond)
	is.Equal(deliverLoanRequests(all, "i000", later, got.LoanRequests).State, limits.Granted)
	is.True(all["i000"].Admit(later, "more", account, 5).State != limits.Granted)
}

// Guards against a new holder that starts with tokens, or before the loans of the
// former holder have expired.
func TestNewHolderWaitsAndStartsEmpty(t *testing.T) {
	is := is.New(t)
	r := rosterOf(3)
	l := limits.New(ref("i000"), limits.Params{})
	l.SetEntitlementExpiry(core.Never)
	l.SetRoster(0, r)
	start := core.Instant(limits.DefaultLoanTerm * 103 / 100)
	is.Equal(l.Admit(start, "a", account, 1).State, limits.Borrowing)
	l.Tick(start.Add(100 * time.Millisecond))
	is.Equal(l.Admit(start.Add(100*time.Millisecond), "b", account, 11).State, limits.Borrowing) // 9.9 at 99 a second
	l.Tick(start.Add(time.Second))
	is.Equal(l.Admit(start.Add(time.Second), "c", account, 80).State, limits.Granted)
	fresh := account
	fresh.ID = "first seen later"
	is.Equal(l.Admit(start.Add(100*time.Millisecond), "d", fresh, 11).State, limits.Borrowing)
}

// Guards against entitlements that are kept although the Instance skipped a roster,
// under which another Instance may hold them.
func TestSkippedRosterDropsEntitlements(t *testing.T) {
	for _, test := range []struct {
		epoch core.Epoch
		want  limits.State
	}{{2, limits.Granted}, {3, limits.Borrowing}} {
		is := is.New(t)
		all, r := threeLimiters()
		all["i000"].Admit(bucketsFullAt, "a", account, 1)
		r.Epoch = test.epoch
		r.HandoverComplete = false
		all["i000"].SetRoster(bucketsFullAt, r)
		is.Equal(all["i000"].Admit(bucketsFullAt, "b", account, 1).State, test.want)
	}
}

// Guards against refusing a request that two lenders can cover only together.
func TestReportedAvailabilityIsRequested(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	is.Equal(all["i001"].Admit(bucketsFullAt, "a", account, 100).State, limits.Granted)
	is.Equal(all["i002"].Admit(bucketsFullAt, "b", account, 100).State, limits.Granted)
	got := all["i000"].Admit(bucketsFullAt, "q", account, 600)
	is.Equal(deliverLoanRequests(all, "i000", bucketsFullAt, got.LoanRequests).State, limits.Granted)
}

// Guards against a RetryAfter for a request that can never be admitted, and against
// borrowing for it.
func TestLargerThanBurstIsRefusedPermanently(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	got := all["i000"].Admit(bucketsFullAt, "q", account, account.Burst+1)
	is.Equal(got.State, limits.Refused)
	is.Equal(got.Refusal.Code, core.CodeOverBurst)
	is.Equal(got.Refusal.RetryAfter, time.Duration(0))
}

// Guards against a request that waits forever for unresponsive lenders, and against
// losing the amount that it had reserved.
func TestUnresponsiveLendersCauseRefusal(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	l := all["i000"]
	is.Equal(l.Admit(bucketsFullAt, "q", account, 600).State, limits.Borrowing)
	now := bucketsFullAt
	var end []limits.AdmissionUpdate
	for range 10 {
		now = l.NextWake()
		if end = l.Tick(now); len(end) > 0 && end[0].State == limits.Refused {
			break
		}
	}
	is.Equal(end[0].Refusal.Code, core.CodeNoCapacity)
	is.True(end[0].Refusal.RetryAfter >= time.Second)
	is.True(now.Sub(bucketsFullAt) <= 500*time.Millisecond)
	is.Equal(l.Admit(now, "q2", account, 300).State, limits.Granted)
}

// Guards against a loan that is used twice or after its term on the borrower's
// clock, and against losing a loan whose reply arrives after the timeout.
func TestLateReplyServesLaterRequestsUntilItsTerm(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	l := all["i000"]
	first := l.Admit(bucketsFullAt, "q", account, 500)
	q := first.LoanRequests[0]
	reply := all[q.To].OnLoanRequest(bucketsFullAt, ref("i000"), account, q.Request)
	is.Equal(all[q.To].OnLoanRequest(bucketsFullAt, ref("i000"), account, q.Request), reply) // a duplicate gets the same reply
	late := bucketsFullAt.Add(600 * time.Millisecond)
	l.Tick(late)
	is.Equal(l.Admit(late, "empty own", account, 300).State, limits.Granted)
	l.OnLoanReply(late, ref(q.To), reply)
	l.OnLoanReply(late, ref(q.To), reply)
	is.Equal(l.Admit(late, "from loan", account, 200).State, limits.Granted)
	is.True(l.Admit(late, "no more", account, 200).State != limits.Granted)
	l.Settle(late, "from loan", 0)
	end := bucketsFullAt.Add(limits.DefaultLoanTerm * 98 / 100)
	used := l.Admit(end-1, "before the end", account, 300)
	is.Equal(used.State, limits.Granted) // 300 need the loan's 200, which were refunded, and the refill
	l.Settle(end, "before the end", 0)
	is.True(l.Admit(end, "after the end", account, 300).State != limits.Granted) // the refund to the expired loan is lost
}

// Guards against accepting a reply to another incarnation or from another lender, or
// a forged loan request. Each would create tokens.
func TestForeignLoanMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	loan := all["i000"].Admit(bucketsFullAt, "q", account, 400).LoanRequests[0]
	is.Equal(all[loan.To].OnLoanRequest(bucketsFullAt, ref("other"), account, loan.Request).Granted, limits.Units(0))
	reply := all[loan.To].OnLoanRequest(bucketsFullAt, ref("i000"), account, loan.Request)
	is.Equal(len(all["i000"].OnLoanReply(bucketsFullAt, ref("other"), reply)), 0)
	later := reply
	later.Borrower.Incarnation = 2
	is.Equal(len(all["i000"].OnLoanReply(bucketsFullAt, ref(loan.To), later)), 0)
	is.Equal(all["i000"].OnLoanReply(bucketsFullAt, ref(loan.To), reply)[0].State, limits.Granted)
}

// Guards against losing loans when the request that they were for is refused.
func TestLoansOfRefusedRequestStayUsable(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	is.Equal(all["i001"].Admit(bucketsFullAt, "a", account, 300).State, limits.Granted)
	got := all["i000"].Admit(bucketsFullAt, "q", account, 850) // 275 from each of the others
	is.Equal(deliverLoanRequests(all, "i000", bucketsFullAt, got.LoanRequests).State, limits.Refused)
	is.Equal(all["i000"].Admit(bucketsFullAt, "b", account, 575).State, limits.Granted)
}

// Guards against a bucket that keeps more than a lowered burst allows.
func TestLoweredBurstReducesLevel(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	is.Equal(all["i000"].Admit(bucketsFullAt, "a", account, 1).State, limits.Granted)
	lower := account
	lower.Burst = 90
	is.Equal(all["i000"].Admit(bucketsFullAt, "b", lower, 30).State, limits.Granted)
	is.Equal(all["i000"].Admit(bucketsFullAt, "c", lower, 1).State, limits.Borrowing)
}

// Guards against a lender that lends or spends again what is still lent: its capacity
// must stay reduced until the term ends on its own clock.
func TestLentTokensReduceCapacity(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	lender := all["i001"]
	q := limits.LoanRequest{Borrower: ref("i000"), Seq: 1, Account: account.ID, Want: 200 * limits.UnitsPerToken}
	is.Equal(lender.OnLoanRequest(bucketsFullAt, ref("i000"), account, q).Granted, q.Want)
	before := bucketsFullAt.Add(limits.DefaultLoanTerm - 1)
	probe := limits.LoanRequest{Borrower: ref("i002"), Seq: 1, Account: account.ID, Want: 300 * limits.UnitsPerToken}
	is.Equal(lender.OnLoanRequest(before, ref("i002"), account, probe).Available, 100*limits.UnitsPerToken)
	probe.Seq = 2
	after := bucketsFullAt.Add(limits.DefaultLoanTerm + 3*time.Second)
	is.Equal(lender.OnLoanRequest(after, ref("i002"), account, probe).Granted, probe.Want)
}

// Guards against a second settlement of the same request that has an effect.
func TestSecondSettleHasNoEffect(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	l := all["i000"]
	is.Equal(l.Admit(bucketsFullAt, "a", account, 150).State, limits.Granted)
	is.Equal(l.Admit(bucketsFullAt, "b", account, 150).State, limits.Granted)
	l.Settle(bucketsFullAt, "a", 50)
	l.Settle(bucketsFullAt, "a", 0)
	is.True(l.Admit(bucketsFullAt, "c", account, 101).State != limits.Granted)
	l.Settle(bucketsFullAt, "b", 350) // 200 over its charge, which leaves an overdraft of 100
	is.Equal(len(l.Admit(bucketsFullAt.Add(900*time.Millisecond), "d", account, 1).LoanRequests), 1)
}

// Guards against entitlements that are kept over a pause, or used after their expiry.
func TestResetAndExpiryEndEntitlements(t *testing.T) {
	is := is.New(t)
	all, r := threeLimiters()
	l := all["i000"]
	l.SetEntitlementExpiry(bucketsFullAt.Add(time.Second))
	is.Equal(l.Admit(bucketsFullAt, "a", account, 1).State, limits.Granted)
	is.Equal(l.Admit(bucketsFullAt.Add(time.Second), "b", account, 1).State, limits.Borrowing)
	self := core.InstanceRef{ID: "i000", Incarnation: 2}
	l.Reset(bucketsFullAt, self)
	is.Equal(l.Admit(bucketsFullAt, "c", account, 1).Refusal.Code, core.CodeNotConfigured)
	l.SetEntitlementExpiry(core.Never)
	l.SetRoster(bucketsFullAt, r) // still has the old incarnation
	is.Equal(l.Admit(bucketsFullAt.Add(time.Hour), "d", account, 1).State, limits.Borrowing)
}

// Guards against memory that is kept for every account that ever sent a request.
func TestIdleAccountsAreDropped(t *testing.T) {
	is := is.New(t)
	all, _ := threeLimiters()
	l := all["i000"]
	for i := range 1000 {
		a := account
		a.ID = core.AccountID(fmt.Sprintf("a%d", i))
		id := core.RequestID(a.ID)
		is.Equal(l.Admit(bucketsFullAt, id, a, 100).State, limits.Granted)
		l.Settle(bucketsFullAt, id, 100)
	}
	is.Equal(l.AccountCount(), 1000)
	l.Tick(bucketsFullAt.Add(time.Minute))
	is.Equal(l.AccountCount(), 0)
	is.Equal(l.Admit(bucketsFullAt.Add(time.Minute), "again", account, 300).State, limits.Granted) // as full as it was
}

// Guards against a home set in one DataCentre, and against a home set that changes
// although none of its Instances leaves.
func TestHomeSetIsSpreadAndStable(t *testing.T) {
	is := is.New(t)
	r := rosterOf(330)
	count := map[core.InstanceID]int{}
	for i := range 2000 {
		id := core.AccountID(fmt.Sprintf("a%d", i))
		home := limits.HomeSet(r, id, 3)
		dcs := map[core.DataCentreName]bool{}
		for _, h := range home {
			m, _ := r.Member(h)
			dcs[m.DataCentre] = true
			count[h]++
		}
		is.Equal(len(dcs), 3)
		without := r
		without.Members = append([]membership.Member{}, r.Members...)
		without.Members[i%330].Leaving = true
		moved := limits.HomeSet(without, id, 3)
		for _, h := range home {
			removed := h == r.Members[i%330].Ref.ID
			remains := h == moved[0] || h == moved[1] || h == moved[2]
			is.True(remains != removed)
		}
	}
	is.True(len(count) > 320) // 6,000 home shares over 330 Instances
	is.Equal(len(limits.HomeSet(rosterOf(2), "a", 3)), 2)
}
