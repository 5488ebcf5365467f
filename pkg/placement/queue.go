package placement

import (
	"container/heap"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fairQueue orders jobs by start-time fair queueing. Accounts that stay backlogged
// receive service in proportion to their weights: the normalised service (cost over
// weight) of two of them differs by less than the sum of their largest jobs' normalised
// costs.
type fairQueue struct {
	virtualTime float64
	flows       map[core.AccountID]*flow
	heads       flowHeap
	length      int
}

// flow is the queue of one ClientAccount.
type flow struct {
	account core.AccountID
	jobs    []*job
	// virtualStart is the virtual start time of the first job, or of the next one to
	// arrive if there is none.
	virtualStart float64
	priority     int // of the first job; breaks ties
	index        int // in the heap, -1 when empty
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[core.AccountID]*flow{}} }

func (j *job) normalisedCost() float64 {
	return float64(j.PromptTokens+j.MaxOutputTokens+1) / float64(max(1, j.Weight))
}

func (q *fairQueue) flow(account core.AccountID) *flow {
	f := q.flows[account]
	if f == nil {
		f = &flow{account: account, index: -1, virtualStart: q.virtualTime}
		q.flows[account] = f
	}
	return f
}

func (q *fairQueue) push(j *job) {
	f := q.flow(j.Account)
	if len(f.jobs) == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
	}
	f.jobs = append(f.jobs, j)
	q.length++
	q.reposition(f)
}

// putBack returns a popped job to the front of its flow and refunds its cost.
func (q *fairQueue) putBack(j *job) {
	f := q.flow(j.Account)
	f.virtualStart -= j.normalisedCost()
	f.jobs = slices.Insert(f.jobs, 0, j)
	q.length++
	q.reposition(f)
}

func (q *fairQueue) peek() *job {
	if len(q.heads) == 0 {
		return nil
	}
	return q.heads[0].jobs[0]
}

func (q *fairQueue) pop() *job {
	f := q.heads[0]
	j := f.jobs[0]
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += j.normalisedCost()
	f.jobs[0] = nil
	f.jobs = f.jobs[1:]
	q.length--
	q.reposition(f)
	return j
}

func (q *fairQueue) remove(j *job) {
	f := q.flows[j.Account]
	if f == nil {
		return
	}
	i := slices.Index(f.jobs, j)
	if i < 0 {
		return
	}
	f.jobs = slices.Delete(f.jobs, i, i+1)
	q.length--
	q.reposition(f)
}

// reposition restores the heap order after the jobs or the virtual start of f changed.
func (q *fairQueue) reposition(f *flow) {
	switch {
	case len(f.jobs) == 0 && f.index >= 0:
		heap.Remove(&q.heads, f.index)
	case len(f.jobs) > 0:
		f.priority = f.jobs[0].Priority
		if f.index < 0 {
			heap.Push(&q.heads, f)
		} else {
			heap.Fix(&q.heads, f.index)
		}
	}
	if q.length == 0 {
		q.removeIdleFlows()
	}
}

// removeIdleFlows removes flows whose virtual start is not ahead of the virtual time. A
// new flow of the same account would begin at the same point.
func (q *fairQueue) removeIdleFlows() {
	for account, f := range q.flows {
		if f.virtualStart <= q.virtualTime {
			delete(q.flows, account)
		}
	}
}

// queuedJobs returns the number of queued jobs of the account.
func (q *fairQueue) queuedJobs(account core.AccountID) int {
	if f := q.flows[account]; f != nil {
		return len(f.jobs)
	}
	return 0
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, k int) bool {
	if h[i].virtualStart != h[k].virtualStart {
		return h[i].virtualStart < h[k].virtualStart
	}
	if h[i].priority != h[k].priority {
		return h[i].priority > h[k].priority
	}
	return h[i].account < h[k].account
}

func (h flowHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

// Push is part of heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is part of heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// classQueue has one fair queue per class and serves the highest class first.
type classQueue struct {
	priorities []int // descending
	classes    map[int]*fairQueue
	length     int
}

func newClassQueue() classQueue { return classQueue{classes: map[int]*fairQueue{}} }

// class returns the class of a job: its priority under PolicyGoodput, 0 for every job
// under PolicyFair.
func (j *job) class(policy Policy) int {
	if policy == PolicyFair {
		return 0
	}
	return j.Priority
}

func (c *classQueue) queueOf(class int) *fairQueue {
	q := c.classes[class]
	if q == nil {
		q = newFairQueue()
		c.classes[class] = q
		c.priorities = append(c.priorities, class)
		slices.SortFunc(c.priorities, func(a, b int) int { return b - a })
	}
	return q
}

func (c *classQueue) push(j *job) { c.queueOf(j.queuedClass).push(j); c.length++ }

func (c *classQueue) putBack(j *job) { c.queueOf(j.queuedClass).putBack(j); c.length++ }

func (c *classQueue) remove(j *job) {
	q := c.queueOf(j.queuedClass)
	before := q.length
	q.remove(j)
	c.length -= before - q.length
}

func (c *classQueue) peek() *job {
	for _, class := range c.priorities {
		if j := c.classes[class].peek(); j != nil {
			return j
		}
	}
	return nil
}

func (c *classQueue) pop() *job {
	for _, class := range c.priorities {
		if q := c.classes[class]; q.length > 0 {
			c.length--
			return q.pop()
		}
	}
	return nil
}

// jobsAhead returns the number of jobs that are served before a new job of the class,
// assuming that each account has the same share.
func (c *classQueue) jobsAhead(class int) int {
	n := 0
	for _, other := range c.priorities {
		if other >= class {
			n += c.classes[other].length
		}
	}
	return n
}
