package placement

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const (
	// holdStep is the weight of one request in the mean time of a slot.
	holdStep = 0.05
	// intervalStep is the weight of one dispatch in the mean interval of a queue.
	intervalStep = 0.1
)

type jobState int

const (
	jobQueued jobState = iota
	jobReserving
	jobPlaced
)

// job is a submitted Job with its state.
type job struct {
	Job
	seq         uint64
	state       jobState
	pool        *pool
	queuedClass int
	arrived     core.Instant
	giveUp      core.Instant

	// While a reservation is asked for, and until it is released.
	nonce  uint64
	decode *engine // for a plain job: its replica
	holder core.InstanceID
	booked *engine // the prefill engine that was chosen with the decode engine
	denied []*engine
	tries  int

	// Once placed.
	prefill *engine
	hinted  int          // tokens that hints promised, before the accuracy
	ahead   float64      // tokens that the prefill engine works off before it
	kvBytes float64      // expected size of the transfer, then the stated one
	starts  core.Instant // of the decode
	until   core.Instant // end of the unused reservation
}

// Placer chooses Upstreams for the requests of one Instance.
type Placer struct {
	self   core.InstanceRef
	dc     core.DataCentreName
	region core.RegionName
	params Params

	sites    map[core.DataCentreName]*site
	services map[core.ServiceName]*service
	pools    []*pool
	engines  map[core.UpstreamID]*engine
	index    hintIndex
	unshared map[core.UpstreamID]*LoadDelta

	members          []Member
	rosterGeneration int
	holderDown       map[core.InstanceID]core.Instant

	jobs   map[core.RequestID]*job
	turn   int // of StrategyRoundRobin
	seq    uint64
	nonce  uint64
	timers schedule.Queue[core.Instant, timer]
}

// New returns a Placer of the Instance self in the DataCentre dc.
func New(self core.InstanceRef, dc core.DataCentreName, p Params) *Placer {
	return &Placer{
		self:       self,
		dc:         dc,
		params:     p.withDefaults(),
		sites:      map[core.DataCentreName]*site{},
		services:   map[core.ServiceName]*service{},
		engines:    map[core.UpstreamID]*engine{},
		index:      hintIndex{},
		unshared:   map[core.UpstreamID]*LoadDelta{},
		holderDown: map[core.InstanceID]core.Instant{},
		jobs:       map[core.RequestID]*job{},
	}
}

// Submit places the job, asks for its reservation or queues it. A job with the id
// of an earlier one replaces it.
func (p *Placer) Submit(now core.Instant, work Job) []Output {
	outputs := p.Release(now, work.ID)
	target := p.poolFor(work)
	if p.params.FIFO {
		work.Account, work.Priority = "", 0
	}
	p.seq++
	j := &job{Job: work, seq: p.seq, pool: target, arrived: now, giveUp: work.Deadline}
	switch {
	case target == nil || len(target.decode.regions) == 0:
		return append(outputs, j.refuse(core.CodeNoUpstream, 0, "the service has no upstream for the model"))
	case work.Deadline <= now:
		return append(outputs, j.refuse(core.CodeDeadlineExceeded, 0, "the deadline has passed"))
	}
	j.queuedClass = j.class(target.service.Policy)
	queue := target.queue.of(j.queuedClass)
	if queue.waiting(work.Account) >= p.params.MaxQueuedPerAccount {
		return append(outputs, j.refuse(core.CodeNoCapacity, time.Second, "too many requests of the account are waiting"))
	}
	if j.refusesEarly() {
		first := target.service.Targets.TimeToFirstToken
		j.giveUp = min(j.giveUp, now.Add(first))
		if wait := target.interval * time.Duration(target.queue.ahead(j.queuedClass)); wait > first {
			return append(outputs, j.refuse(core.CodeTargetUnreachable, wait-first, "the queue is longer than the first-token target"))
		}
	}
	p.jobs[work.ID] = j
	target.queue.push(j)
	outputs = append(outputs, p.pumpOne(now, target)...)
	if j.state == jobQueued && p.jobs[work.ID] == j {
		p.after(timer{at: j.giveUp, id: work.ID, seq: j.seq})
	}
	return outputs
}

// refusesEarly reports whether the first-token target decides over the job.
func (j *job) refusesEarly() bool {
	s := j.pool.service
	return s.Policy != PolicyFair && !j.IsRetry && s.Targets.TimeToFirstToken > 0
}

func (j *job) refuse(code core.Code, retryAfter time.Duration, message string) JobRefused {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = retryAfter
	if j.IsRetry {
		refusal.Ran = core.MayHaveRun
	}
	return JobRefused{ID: j.ID, Refusal: refusal}
}

// drop refuses a known job and forgets it.
func (p *Placer) drop(now core.Instant, j *job, code core.Code, message string) []Output {
	outputs := p.Release(now, j.ID)
	return append(outputs, j.refuse(code, 0, message))
}

// CancelPending removes a job that isn't placed yet.
func (p *Placer) CancelPending(now core.Instant, id core.RequestID) []Output {
	if j := p.jobs[id]; j == nil || j.state == jobPlaced {
		return nil
	}
	return p.Release(now, id)
}

// Release forgets a job: it ends its reservation and its share of the load. An
// unknown id is ignored.
func (p *Placer) Release(now core.Instant, id core.RequestID) []Output {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	delete(p.jobs, id)
	switch j.state {
	case jobQueued:
		j.pool.queue.remove(j)
		return nil
	case jobReserving:
		p.unbook(now, j)
		return p.endReservation(now, j)
	}
	outputs := p.releasePlaced(now, j)
	return append(outputs, p.pump(now, j.decode.service.poolsOf(j.decode))...)
}

func (p *Placer) releasePlaced(now core.Instant, j *job) []Output {
	j.decode.release(now, j.ID)
	p.share(j.decode, 0, -1, 0)
	if j.prefill == nil {
		return nil
	}
	j.prefill.outstanding--
	if used := now.Sub(j.starts); used > 0 {
		j.decode.service.noteUse(j, used)
	}
	return p.endReservation(now, j)
}

// pump dispatches waiting jobs of the pools that have any.
func (p *Placer) pump(now core.Instant, pools []*pool) []Output {
	var outputs []Output
	for _, one := range pools {
		if one.queue.length > 0 {
			outputs = append(outputs, p.pumpOne(now, one)...)
		}
	}
	return outputs
}

// pumpOne dispatches jobs in queue order until the first one has to wait.
func (p *Placer) pumpOne(now core.Instant, from *pool) []Output {
	var outputs []Output
	from.nextTry = core.Never
	for {
		j := from.queue.peek()
		if j == nil {
			return outputs
		}
		c := p.choose(now, j)
		if c.verdict == verdictWait {
			from.nextTry = now.Add(p.params.RetryInterval)
			return outputs
		}
		from.queue.pop()
		if c.verdict == verdictRefuse {
			delete(p.jobs, j.ID)
			outputs = append(outputs, j.refuse(core.CodeTargetUnreachable, c.firstToken, c.reason()))
			continue
		}
		from.noteDispatch(now, j)
		outputs = append(outputs, p.dispatch(now, j, c)...)
		if j.state == jobQueued {
			return outputs // put back: the engines were full after all
		}
	}
}

// noteDispatch updates the mean interval between dispatches of waiting jobs.
func (from *pool) noteDispatch(now core.Instant, j *job) {
	if j.arrived < now && from.lastPop > j.arrived {
		sample := now.Sub(from.lastPop)
		from.interval += time.Duration(intervalStep * float64(sample-from.interval))
	}
	from.lastPop = now
}

func (c choice) reason() string {
	return fmt.Sprintf("the first token would take %d ms", c.firstToken.Milliseconds())
}

// dispatch starts a popped job on the chosen engines.
func (p *Placer) dispatch(now core.Instant, j *job, c choice) []Output {
	if j.pool.service.Kind == KindPlain {
		j.state = jobPlaced
		j.decode = c.decode
		j.decode.outstanding++
		j.decode.correct(now, correction{id: j.ID, at: now, slots: 1})
		p.share(j.decode, 0, 1, 0)
		return []Output{PlainPlacement{ID: j.ID, Upstream: c.decode.ID}}
	}
	if p.params.NoReservation {
		return p.placeUnreserved(now, j, c)
	}
	return p.reserve(now, j, c)
}

// place starts a job whose slot is free in freeIn and reserved for term.
func (p *Placer) place(now core.Instant, j *job, c choice, term time.Duration) []Output {
	lead := c.queue + c.prefillTime
	start := now.Add(max(0, c.freeIn-lead))
	j.state = jobPlaced
	j.prefill = c.prefill
	j.hinted = c.hinted
	j.until = now.Add(term)
	j.starts = now.Add(c.firstToken)
	bytes := p.kvBytes(c.prefill, j)
	j.kvBytes = bytes
	j.ahead = c.prefill.work.left(start)
	p.addTransfer(now, c.prefill.site, c.decode.site, bytes)
	c.prefill.outstanding++
	c.prefill.correct(now, correction{id: j.ID, at: start, tokens: c.tokens})
	c.decode.outstanding++
	c.decode.correct(now, correction{id: j.ID, at: j.starts, slots: 1})
	p.share(c.prefill, c.tokens, 0, bytes)
	decodeBytes := bytes
	if c.prefill.site == c.decode.site {
		decodeBytes = 0
	}
	p.share(c.decode, 0, 1, decodeBytes)
	return []Output{ModelPlacement{
		ID:             j.ID,
		Prefill:        c.prefill.ID,
		Decode:         c.decode.ID,
		StartPrefillAt: start,
		SlotFreeAt:     now.Add(c.freeIn),
		ReservedUntil:  j.until,
	}}
}

// Tick does the work that is due at now.
func (p *Placer) Tick(now core.Instant) []Output {
	var outputs []Output
	for {
		due, _, any := p.timers.PopDue(now)
		if !any {
			break
		}
		outputs = append(outputs, p.onTimer(now, due)...)
	}
	for _, one := range p.pools {
		if one.nextTry <= now {
			outputs = append(outputs, p.pumpOne(now, one)...)
		}
	}
	return outputs
}

func (p *Placer) onTimer(now core.Instant, due timer) []Output {
	j := p.jobs[due.id]
	if j == nil || j.seq != due.seq || j.state == jobPlaced {
		return nil
	}
	if due.nonce != 0 {
		return p.onReserveTimeout(now, j, due.nonce)
	}
	if j.Deadline <= now {
		return p.drop(now, j, core.CodeDeadlineExceeded, "the deadline passed while the request was waiting")
	}
	return p.drop(now, j, core.CodeTargetUnreachable, "the first-token target passed while the request was waiting")
}

// NextWake returns the time at which Tick is due.
func (p *Placer) NextWake() core.Instant {
	first := core.Never
	if next, any := p.timers.NextTime(); any {
		first = next
	}
	for _, one := range p.pools {
		first = min(first, one.nextTry)
	}
	return first
}

// timer wakes a job at its give-up time, or a reservation when nonce is set.
type timer struct {
	at    core.Instant
	id    core.RequestID
	seq   uint64
	nonce uint64
}

func (p *Placer) after(t timer) { p.timers.Add(t.at, t) }
