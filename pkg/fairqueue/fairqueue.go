// Package fairqueue orders the waiting requests of one service: by urgency, then retries before new
// requests, then fairly among accounts by their weights, then by arrival within an account. It is pure.
//
// Fairness is that of start-time fair queueing with one tag for each account instead of one for each
// request: the tag of an account is the virtual time at which its next request starts, and a placement
// advances it by cost / weight. A request that can't be placed does not block those behind it, so tags
// of requests would let virtual time jump to the tag of a small request at the end of a backlog, and
// a new account would be queued behind that backlog. The tags are forgotten when no request of an
// urgency waits: what an account has taken while others lacked nothing does not count against it.
//
// A less urgent request is overtaken by more urgent ones only up to a guarantee: see guarantee.
package fairqueue

import (
	"math"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Entry is a request in a Queue. The exported fields must not change while it waits.
type Entry[T any] struct {
	Value T
	// Urgency is 0 for the most urgent.
	Urgency     int
	IsRetry     bool
	Account     core.AccountID // empty for the common account of requests without one
	ArrivalTime core.Instant
	// Weight is the share of the account, and Cost what the request takes of that, in the unit of
	// Weight.
	Weight float64
	Cost   int64

	flow     *flow[T] // the last one, nil before the entry is added
	waiting  bool
	seq      uint64
	duration float64 // virtual
	charged  bool
	debit    float64 // from the credit of the class
}

// Waits reports whether the entry is in the queue.
func (e *Entry[T]) Waits() bool { return e.waiting }

func (e *Entry[T]) precedes(other *Entry[T]) bool {
	if e.ArrivalTime != other.ArrivalTime {
		return e.ArrivalTime < other.ArrivalTime
	}
	return e.seq < other.seq
}

// Bands of requests of the same urgency.
const (
	bandRetries = iota
	bandNew
	bands
)

// flow holds the requests of one account with one urgency.
type flow[T any] struct {
	class   *class[T]
	account core.AccountID
	weight  float64 // of the last request that stated one
	bands   [bands][]*Entry[T]
	// start is the virtual time at which the next request of the account starts.
	start float64
	// In a round, next is the index of the first entry of the current band that was not visited, and
	// tag its virtual start.
	next int
	tag  float64
}

func (f *flow[T]) len() int { return len(f.bands[bandRetries]) + len(f.bands[bandNew]) }

// Queue holds the waiting requests of one service. Its zero value is empty. It is not safe for
// concurrent use.
type Queue[T any] struct {
	classes []*class[T] // by urgency
	waiting int
	lastSeq uint64
	last    *Entry[T] // the entry that Next returned last
	// lastByCredit is set if that preceded more urgent ones.
	lastByCredit bool
	kept         int // entries that the round has visited and that still wait
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Add adds an entry to the queue.
func (q *Queue[T]) Add(now core.Instant, e *Entry[T]) {
	c := q.class(e.Urgency)
	if !e.IsRetry {
		c.countArrival(now)
	}
	q.insert(c, e)
}

// Return adds an entry again that was placed and did not reach an Upstream. Its placement does not
// count against its account.
func (q *Queue[T]) Return(e *Entry[T]) {
	c := q.class(e.Urgency)
	if e.charged && c.flows[e.Account] == e.flow {
		e.flow.start -= e.duration
	}
	c.credit = min(c.credit+e.debit, maxCredit)
	q.insert(c, e)
}

func (q *Queue[T]) insert(c *class[T], e *Entry[T]) {
	f := c.flows[e.Account]
	if f == nil {
		f = &flow[T]{class: c, account: e.Account}
		c.flows[e.Account] = f
	}
	if f.len() == 0 {
		f.start = max(f.start, c.virtualTime)
		c.active = append(c.active, f)
	}
	q.lastSeq++
	e.seq, e.flow, e.waiting, e.charged, e.debit = q.lastSeq, f, true, false, 0
	if isValid(e.Weight) {
		f.weight = e.Weight
	}
	e.duration = q.durationOf(e)
	list := &f.bands[e.band()]
	index := len(*list)
	if index > 0 && e.precedes((*list)[index-1]) {
		index, _ = slices.BinarySearchFunc(*list, e, func(a, b *Entry[T]) int {
			if a.precedes(b) {
				return -1
			}
			return 1
		})
	}
	*list = slices.Insert(*list, index, e)
	c.waiting++
	q.waiting++
}

func (e *Entry[T]) band() int {
	if e.IsRetry {
		return bandRetries
	}
	return bandNew
}

func isValid(weight float64) bool { return weight > 0 && !math.IsInf(weight, 1) }

// durationOf returns the virtual time that an entry takes. That of an entry without a weight depends on the
// other accounts that wait now: one that was alone when it was added would otherwise take thousands of
// times as much as the others, and its account would starve.
func (q *Queue[T]) durationOf(e *Entry[T]) float64 {
	return float64(max(e.Cost, 1)) / q.weightOf(e)
}

// weightOf returns the weight of an entry. One that states none has the lower median of the weights
// of the accounts that wait, so that a missing weight neither starves nor favours its account.
func (q *Queue[T]) weightOf(e *Entry[T]) float64 {
	if isValid(e.Weight) {
		return e.Weight
	}
	var weights []float64
	for _, c := range q.classes {
		for _, f := range c.active {
			if f.weight > 0 {
				weights = append(weights, f.weight)
			}
		}
	}
	if len(weights) == 0 {
		return 1
	}
	slices.Sort(weights)
	return weights[(len(weights)-1)/2]
}

// Place removes an entry that is placed now and charges its account.
func (q *Queue[T]) Place(now core.Instant, e *Entry[T]) {
	f := e.flow
	start := max(f.start, f.class.virtualTime)
	f.class.virtualTime = start
	e.duration = q.durationOf(e)
	f.start = start + e.duration
	e.charged = true
	q.Remove(e)
	q.countPlacement(now, e)
}

// Remove removes an entry that is not placed.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if !e.waiting {
		return
	}
	f := e.flow
	c := f.class
	e.waiting = false
	list := &f.bands[e.band()]
	index := 0
	if (*list)[0] != e {
		index = slices.Index(*list, e)
	}
	*list = slices.Delete(*list, index, index+1)
	c.waiting--
	q.waiting--
	if f.len() > 0 {
		return
	}
	index = slices.Index(c.active, f)
	last := len(c.active) - 1
	c.active[index] = c.active[last]
	c.active[last] = nil
	c.active = c.active[:last]
	c.forgetFlows()
}

// WaitingByUrgency returns the number of waiting requests of each urgency that has any.
func (q *Queue[T]) WaitingByUrgency() map[int]int {
	waiting := map[int]int{}
	for _, c := range q.classes {
		if c.waiting > 0 {
			waiting[c.urgency] = c.waiting
		}
	}
	return waiting
}

// LargestBacklog returns the account with the most waiting requests, their number, and the number of
// other accounts that wait.
func (q *Queue[T]) LargestBacklog() (account core.AccountID, waiting, others int) {
	backlogs := map[core.AccountID]int{}
	for _, c := range q.classes {
		for _, f := range c.active {
			backlogs[f.account] += f.len()
		}
	}
	for id, n := range backlogs {
		if n > waiting || n == waiting && id < account {
			account, waiting = id, n
		}
	}
	return account, waiting, max(len(backlogs)-1, 0)
}

// IsShared reports whether requests of several accounts or urgencies wait.
func (q *Queue[T]) IsShared() bool {
	active := 0
	for _, c := range q.classes {
		active += len(c.active)
	}
	return active > 1
}
