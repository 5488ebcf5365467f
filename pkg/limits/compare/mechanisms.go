package main

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

func rosterOf(size int) membership.Roster {
	r := membership.Roster{Epoch: 1, HandoverComplete: true}
	for i := range size {
		r.Members = append(r.Members, membership.Member{
			Ref:        core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
			DataCentre: core.DataCentreName(fmt.Sprintf("dc%d", i%5)),
		})
	}
	return r
}

// homeIndex caches the home sets as indexes of Instances.
type homeIndex struct {
	roster        membership.Roster
	instanceIndex map[core.InstanceID]int
	byAccount     map[core.AccountID][]int
	k             int
}

func newHomeIndex(s settings, k int) homeIndex {
	p := homeIndex{rosterOf(s.instances), map[core.InstanceID]int{}, map[core.AccountID][]int{}, k}
	for i, m := range p.roster.Members {
		p.instanceIndex[m.Ref.ID] = i
	}
	return p
}

func (p homeIndex) targets(a limits.Account) []int {
	if home, ok := p.byAccount[a.ID]; ok {
		return home
	}
	var home []int
	for _, id := range limits.HomeSet(p.roster, a.ID, p.k) {
		home = append(home, p.instanceIndex[id])
	}
	p.byAccount[a.ID] = home
	return home
}

// homeSets uses package limits. In a store outage the roster stays the same, so the
// outage has no effect.
type homeSets struct {
	homeIndex
	s        settings
	limiters []*limits.Limiter
	lastTick core.Instant
}

func newHomeSets(s settings) *homeSets {
	h := &homeSets{homeIndex: newHomeIndex(s, limits.DefaultHomeSize), s: s}
	for _, m := range h.roster.Members {
		l := limits.New(m.Ref, limits.Params{})
		l.SetEntitlementExpiry(core.Never)
		l.SetRoster(0, h.roster)
		h.limiters = append(h.limiters, l)
	}
	return h
}

func (h *homeSets) name() string { return "home sets" }

// tickInterval is the interval at which the Limiters drop idle accounts and expired
// requests.
const tickInterval = time.Second

func (h *homeSets) admit(now core.Instant, r request) (bool, int) {
	if now.Sub(h.lastTick) >= tickInterval {
		h.lastTick = now
		for _, l := range h.limiters {
			l.Tick(now)
		}
	}
	l := h.limiters[r.to]
	self := h.roster.Members[r.to].Ref
	got := l.Admit(now, r.id, r.account, r.tokens)
	messages := 0
	loans := got.LoanRequests
	state := got.State
	timedOut := false
	for len(loans) > 0 {
		loan := loans[0]
		loans = loans[1:]
		messages++
		to := h.instanceIndex[loan.To]
		if h.s.crashed(now, to) {
			timedOut = true
			continue
		}
		messages++
		reply := h.limiters[to].OnLoanRequest(now, self, r.account, loan.Request)
		for _, a := range l.OnLoanReply(now, h.roster.Members[to].Ref, reply) {
			state = a.State
			loans = append(loans, a.LoanRequests...)
		}
	}
	if state == limits.Borrowing && timedOut {
		var more int
		state, more = h.timeout(now, r)
		messages += more
	}
	l.Settle(now, r.id, r.tokens)
	return state == limits.Granted, messages
}

// timeout handles the timeout of a loan request to the crashed Instance. Time does
// not advance for other requests.
func (h *homeSets) timeout(now core.Instant, r request) (limits.State, int) {
	l := h.limiters[r.to]
	self := h.roster.Members[r.to].Ref
	later := now.Add(limits.DefaultReplyTimeout)
	messages := 0
	state := limits.Refused
	updates := l.Tick(later)
	for len(updates) > 0 {
		a := updates[0]
		updates = updates[1:]
		if a.ID == r.id {
			state = a.State
		}
		for _, loan := range a.LoanRequests {
			messages++
			to := h.instanceIndex[loan.To]
			if h.s.crashed(now, to) {
				continue
			}
			messages++
			reply := h.limiters[to].OnLoanRequest(later, self, r.account, loan.Request)
			updates = append(updates, l.OnLoanReply(later, h.roster.Members[to].Ref, reply)...)
		}
	}
	return state, messages
}

// leasedOwners keeps the bucket of each account at one Instance, which needs a lease
// in the store. Other Instances use it with a request and a reply. A crashed owner is
// replaced after its lease when the store is up; the bucket of the new owner starts
// empty.
type leasedOwners struct {
	homeIndex
	s         settings
	buckets   map[core.AccountID]*bucket
	takenOver map[core.AccountID]bool
}

// leaseTerm is the term of an owner's lease, renewed while the store is up.
const leaseTerm = 10 * time.Second

func newLeasedOwners(s settings) *leasedOwners {
	// The second Instance is the successor.
	return &leasedOwners{newHomeIndex(s, 2), s, map[core.AccountID]*bucket{}, map[core.AccountID]bool{}}
}

func (o *leasedOwners) name() string { return "leased owner" }

func (o *leasedOwners) targets(a limits.Account) []int { return o.homeIndex.targets(a)[:1] }

func (o *leasedOwners) admit(now core.Instant, r request) (bool, int) {
	candidates := o.homeIndex.targets(r.account)
	owner := candidates[0]
	if o.s.crashed(now, owner) {
		crashed := warmup.Add(time.Duration(o.s.crashAt) * time.Second)
		if now < crashed.Add(leaseTerm) || o.s.storeDown(now) {
			return false, 1
		}
		owner = candidates[1]
	}
	messages := 0
	if owner != r.to {
		messages = 2
	}
	from := warmup.Add(time.Duration(o.s.outageFrom) * time.Second)
	if o.s.storeDown(now) && now >= from.Add(leaseTerm) {
		return false, messages
	}
	b := o.buckets[r.account.ID]
	if b == nil {
		b = &bucket{}
		o.buckets[r.account.ID] = b
	}
	if owner != candidates[0] && !o.takenOver[r.account.ID] {
		o.takenOver[r.account.ID] = true
		b.used = float64(r.account.Burst)
		b.updatedAt = now
	}
	// The owner's clock may be 1% fast, as in package limits.
	return b.take(now, float64(r.account.Rate)/1.01, float64(r.account.Burst), float64(r.tokens)), messages
}

// fixedShares gives each Instance 1/N of each limit and exchanges nothing.
type fixedShares struct {
	s       settings
	buckets map[instanceAccount]*bucket
}

type instanceAccount struct {
	account  core.AccountID
	instance int
}

func newFixedShares(s settings) *fixedShares { return &fixedShares{s, map[instanceAccount]*bucket{}} }

func (f *fixedShares) name() string { return "fixed 1/N" }

func (f *fixedShares) targets(limits.Account) []int { return nil }

func (f *fixedShares) admit(now core.Instant, r request) (bool, int) {
	key := instanceAccount{r.account.ID, r.to}
	b := f.buckets[key]
	if b == nil {
		b = &bucket{}
		f.buckets[key] = b
	}
	n := float64(f.s.instances)
	return b.take(now, float64(r.account.Rate)/1.01/n, float64(r.account.Burst)/n, float64(r.tokens)), 0
}
