package fairqueue

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// guarantee is the least number of placements that an urgency gets, as a share of those that its
	// share of the arrivals would give it. 0.3 is required; the shares are estimates, and a credit
	// counts only when it is whole.
	guarantee = 0.4
	// maxCredit bounds the requests of an urgency that precede more urgent ones at once.
	maxCredit = 2
	// arrivalsMemory is the time constant of the arrivals that are counted. Bursts last 3 to 5 s.
	arrivalsMemory = 10 * time.Second
)

// class holds the requests of one urgency.
type class[T any] struct {
	urgency     int
	flows       map[core.AccountID]*flow[T]
	active      []*flow[T] // those with waiting requests
	waiting     int
	virtualTime float64 // the start of the request that was placed last
	// arrivals counts the requests since arrivalsMemory before arrivalsAt, decaying.
	arrivals   float64
	arrivalsAt core.Instant
	// credit is the number of requests that may precede more urgent ones.
	credit float64
	round  roundOfClass[T]
}

func (q *Queue[T]) class(urgency int) *class[T] {
	index, found := slices.BinarySearchFunc(q.classes, urgency, func(c *class[T], u int) int { return c.urgency - u })
	if !found {
		q.classes = slices.Insert(q.classes, index, &class[T]{urgency: urgency, flows: map[core.AccountID]*flow[T]{}})
	}
	return q.classes[index]
}

// maxIdleFlows is the number of accounts without waiting requests, beyond those with some, whose tags
// are kept while the queue is not empty.
const maxIdleFlows = 64

// forgetFlows drops what no longer counts: all tags when no request waits, else those that virtual
// time has passed if there are many.
func (c *class[T]) forgetFlows() {
	if c.waiting == 0 {
		clear(c.flows)
		c.virtualTime = 0
		return
	}
	if len(c.flows) <= 2*len(c.active)+maxIdleFlows {
		return
	}
	for id, f := range c.flows {
		if f.len() == 0 && f.start <= c.virtualTime {
			delete(c.flows, id)
		}
	}
}

func (c *class[T]) arrivalsNow(now core.Instant) float64 {
	return c.arrivals * math.Exp(-now.Sub(c.arrivalsAt).Seconds()/arrivalsMemory.Seconds())
}

func (c *class[T]) countArrival(now core.Instant) {
	c.arrivals = c.arrivalsNow(now) + 1
	c.arrivalsAt = now
}

// guaranteed returns the share of the placements that a class is guaranteed.
func (q *Queue[T]) guaranteed(now core.Instant, c *class[T]) float64 {
	all := 0.0
	for _, other := range q.classes {
		all += other.arrivalsNow(now)
	}
	if all == 0 {
		return 0
	}
	return guarantee * c.arrivalsNow(now) / all
}

// countPlacement gives each urgency its part of a placement as credit, while requests wait. It does so
// for urgencies without waiting requests too: at an Instance with few placements all of their requests
// would be refused, for the number ahead, before a credit is whole.
func (q *Queue[T]) countPlacement(now core.Instant, placed *Entry[T]) {
	if q.waiting == 0 || len(q.classes) < 2 {
		return
	}
	for _, c := range q.classes {
		c.credit = min(c.credit+q.guaranteed(now, c), maxCredit)
	}
	c := placed.flow.class
	placed.debit = min(c.credit, 1)
	c.credit -= placed.debit
}

// roundOfClass is the state of a round in one class.
type roundOfClass[T any] struct {
	band     int
	heap     []*flow[T] // those with entries of the band that were not visited
	left     int        // entries that were not visited
	kept     int        // entries that were visited and still wait
	byCredit int        // visits that the credit has allowed
}

// StartRound starts a round of Next over all waiting entries.
func (q *Queue[T]) StartRound() {
	q.last, q.kept = nil, 0
	for _, c := range q.classes {
		c.round = roundOfClass[T]{band: -1, heap: c.round.heap[:0], left: c.waiting}
	}
}

// Next returns the next entry of the round, nil at its end. The entry may be removed or placed before
// the next call; entries must not be added during a round.
func (q *Queue[T]) Next() *Entry[T] {
	q.settleLast()
	c := q.nextClass()
	if c == nil {
		return nil
	}
	for len(c.round.heap) == 0 {
		c.startBand()
	}
	f := c.round.heap[0]
	q.last = f.bands[c.round.band][f.next]
	c.round.left--
	return q.last
}

// PrecedesByCredit reports whether the entry that Next has returned last precedes more urgent ones by the
// guarantee of its urgency.
func (q *Queue[T]) PrecedesByCredit() bool { return q.lastByCredit }

// settleLast moves on from the entry that was visited last.
func (q *Queue[T]) settleLast() {
	e := q.last
	if e == nil {
		return
	}
	q.last = nil
	f, c := e.flow, e.flow.class
	if e.waiting {
		f.next++
		q.kept++
		c.round.kept++
	}
	switch {
	case e.charged:
		f.tag += e.duration
	case e.waiting:
		f.tag += q.durationOf(e)
	}
	if e.charged && q.lastByCredit { // it was debited already
		c.round.byCredit--
	}
	if f.next == len(f.bands[c.round.band]) {
		last := len(c.round.heap) - 1
		c.round.heap[0] = c.round.heap[last]
		c.round.heap = c.round.heap[:last]
	}
	c.siftDown(0)
}

// nextClass returns the class of the next entry: one with credit for a request, else the most urgent.
func (q *Queue[T]) nextClass() *class[T] {
	var first, credited *class[T]
	for _, c := range q.classes {
		if c.round.left == 0 {
			continue
		}
		if first == nil {
			first = c
			continue
		}
		if c.allowance() >= 1 && (credited == nil || c.allowance() > credited.allowance()) {
			credited = c
		}
	}
	q.lastByCredit = credited != nil
	if credited != nil {
		credited.round.byCredit++
		return credited
	}
	return first
}

// allowance is the number of entries that the credit still lets precede more urgent ones in the round. One
// that was visited and could not be placed counts as well.
func (c *class[T]) allowance() float64 { return c.credit - float64(c.round.byCredit) }

func (c *class[T]) startBand() {
	c.round.band++
	c.round.heap = c.round.heap[:0]
	for _, f := range c.active {
		if len(f.bands[c.round.band]) == 0 {
			continue
		}
		f.next, f.tag = 0, max(f.start, c.virtualTime)
		c.round.heap = append(c.round.heap, f)
	}
	for i := len(c.round.heap)/2 - 1; i >= 0; i-- {
		c.siftDown(i)
	}
}

func (c *class[T]) precedes(a, b *flow[T]) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.bands[c.round.band][a.next].precedes(b.bands[c.round.band][b.next])
}

func (c *class[T]) siftDown(i int) {
	heap := c.round.heap
	for {
		child := 2*i + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && c.precedes(heap[child+1], heap[child]) {
			child++
		}
		if !c.precedes(heap[child], heap[i]) {
			return
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}

// Ahead returns the number of placements that are expected before that of the entry which Next has
// returned last: the entries that the round has kept before it or, if that is less, what its urgency
// has to wait for by the guarantee.
func (q *Queue[T]) Ahead(now core.Instant) int {
	if q.last == nil || q.kept == 0 {
		return 0
	}
	c := q.last.flow.class
	if c.round.kept == q.kept { // all of the same urgency
		return q.kept
	}
	share := q.guaranteed(now, c)
	if share <= 0 {
		return q.kept
	}
	byGuarantee := (float64(c.round.kept) + 1 - min(c.credit, maxCredit)) / share
	return int(min(float64(q.kept), max(math.Ceil(byGuarantee)-1, 0)))
}
