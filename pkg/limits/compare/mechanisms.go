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

// placement caches the home sets as indexes.
type placement struct {
	roster membership.Roster
	index  map[core.InstanceID]int
	homes  map[core.AccountID][]int
	k      int
}

func newPlacement(s settings, k int) placement {
	p := placement{rosterOf(s.instances), map[core.InstanceID]int{}, map[core.AccountID][]int{}, k}
	for i, m := range p.roster.Members {
		p.index[m.Ref.ID] = i
	}
	return p
}

func (p placement) targets(a limits.Account) []int {
	if home, ok := p.homes[a.ID]; ok {
		return home
	}
	var home []int
	for _, id := range limits.HomeSet(p.roster, a.ID, p.k) {
		home = append(home, p.index[id])
	}
	p.homes[a.ID] = home
	return home
}

// homes is package limits itself. In a store outage the roster stays as it is, so
// nothing changes for it.
type homes struct {
	placement
	s    settings
	all  []*limits.Limiter
	last core.Instant
}

func newHomes(s settings) *homes {
	h := &homes{placement: newPlacement(s, limits.DefaultHomeSize), s: s}
	for _, m := range h.roster.Members {
		l := limits.New(m.Ref, limits.Params{})
		l.SetEntitlementExpiry(core.Never)
		l.SetRoster(0, h.roster)
		h.all = append(h.all, l)
	}
	return h
}

func (h *homes) name() string { return "home sets" }

// tickEvery is how often waiting and idle state is cleared.
const tickEvery = time.Second

func (h *homes) admit(now core.Instant, r request) (bool, int) {
	if now.Sub(h.last) >= tickEvery {
		h.last = now
		for _, l := range h.all {
			l.Tick(now)
		}
	}
	l := h.all[r.to]
	self := h.roster.Members[r.to].Ref
	got := l.Admit(now, r.id, r.account, r.tokens)
	messages := 0
	loans := got.LoanRequests
	state := got.State
	silent := false
	for len(loans) > 0 {
		loan := loans[0]
		loans = loans[1:]
		messages++
		to := h.index[loan.To]
		if h.s.crashed(now, to) {
			silent = true
			continue
		}
		messages++
		reply := h.all[to].OnLoanRequest(now, self, r.account, loan.Request)
		for _, a := range l.OnLoanReply(now, h.roster.Members[to].Ref, reply) {
			state = a.State
			loans = append(loans, a.LoanRequests...)
		}
	}
	if state == limits.Borrowing && silent {
		var more int
		state, more = h.timeout(now, r)
		messages += more
	}
	l.Settle(now, r.id, r.tokens)
	return state == limits.Granted, messages
}

// timeout lets a question to the crashed Instance time out. Other requests don't
// see the time in between.
func (h *homes) timeout(now core.Instant, r request) (limits.State, int) {
	l := h.all[r.to]
	self := h.roster.Members[r.to].Ref
	later := now.Add(limits.DefaultReplyTimeout)
	messages := 0
	state := limits.Refused
	queue := l.Tick(later)
	for len(queue) > 0 {
		a := queue[0]
		queue = queue[1:]
		if a.ID == r.id {
			state = a.State
		}
		for _, loan := range a.LoanRequests {
			messages++
			to := h.index[loan.To]
			if h.s.crashed(now, to) {
				continue
			}
			messages++
			reply := h.all[to].OnLoanRequest(later, self, r.account, loan.Request)
			queue = append(queue, l.OnLoanReply(later, h.roster.Members[to].Ref, reply)...)
		}
	}
	return state, messages
}

// owners keeps each whole bucket at one Instance, which needs a lease in the
// store. Other Instances ask it with two messages. A crashed owner is replaced
// after its lease when the store is up; the new owner starts empty.
type owners struct {
	placement
	s       settings
	buckets map[core.AccountID]*bucket
	moved   map[core.AccountID]bool
}

// leaseTerm is the term of an owner's lease, renewed while the store is up.
const leaseTerm = 10 * time.Second

func newOwners(s settings) *owners {
	// The second Instance is the successor.
	return &owners{newPlacement(s, 2), s, map[core.AccountID]*bucket{}, map[core.AccountID]bool{}}
}

func (o *owners) name() string { return "leased owner" }

func (o *owners) targets(a limits.Account) []int { return o.placement.targets(a)[:1] }

func (o *owners) admit(now core.Instant, r request) (bool, int) {
	candidates := o.placement.targets(r.account)
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
	if owner != candidates[0] && !o.moved[r.account.ID] {
		o.moved[r.account.ID] = true
		b.used = float64(r.account.Burst)
		b.at = now
	}
	// The owner's clock may be 1% fast, as in package limits.
	return b.take(now, float64(r.account.Rate)/1.01, float64(r.account.Burst), float64(r.tokens)), messages
}

// fixed gives each Instance 1/N of each limit and exchanges nothing.
type fixed struct {
	s       settings
	buckets map[fixedKey]*bucket
}

type fixedKey struct {
	account  core.AccountID
	instance int
}

func newFixed(s settings) *fixed { return &fixed{s, map[fixedKey]*bucket{}} }

func (f *fixed) name() string { return "fixed 1/N" }

func (f *fixed) targets(limits.Account) []int { return nil }

func (f *fixed) admit(now core.Instant, r request) (bool, int) {
	key := fixedKey{r.account.ID, r.to}
	b := f.buckets[key]
	if b == nil {
		b = &bucket{}
		f.buckets[key] = b
	}
	n := float64(f.s.instances)
	return b.take(now, float64(r.account.Rate)/1.01/n, float64(r.account.Burst)/n, float64(r.tokens)), 0
}
