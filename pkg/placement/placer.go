package placement

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const (
	// slotTimeSmoothing is the smoothing factor of the mean slot time (EWMA over requests).
	slotTimeSmoothing = 0.05
	// intervalSmoothing is the smoothing factor of the mean dispatch interval of a pool.
	intervalSmoothing = 0.1
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
	arrivedAt   core.Instant
	expiresAt   core.Instant

	// Set from the reservation request until the slot is released.
	nonce            uint64
	decode           *engine // for a plain job: its replica
	holder           core.InstanceID
	tentativePrefill *engine // carries the tentative load of the request, else nil
	deniedEngines    []*engine
	reserveAttempts  int

	// Set once the job is placed.
	prefill              *engine
	expectedCachedTokens int          // according to the prefix hints, not discounted
	queuedTokensAhead    float64      // expected at the prefill engine when the prefill starts
	kvBytes              float64      // expected size of the transfer, then the reported one
	decodeStart          core.Instant // expected
	reservedUntil        core.Instant // end of the unused reservation
}

// Placer chooses Upstreams for the requests of one Instance. It does no input or output
// and reads no clock: the caller passes the current time, carries out the returned Outputs
// and calls Tick at NextWake.
type Placer struct {
	self            core.InstanceRef
	localDataCentre core.DataCentreName
	localRegion     core.RegionName
	params          Params

	dataCentres   map[core.DataCentreName]*dataCentreState
	services      map[core.ServiceName]*service
	pools         []*pool
	engines       map[core.UpstreamID]*engine
	prefixIndex   prefixIndex
	pendingDeltas map[core.UpstreamID]*LoadDelta

	members        []Member
	membersVersion int
	holderRetryAt  map[core.InstanceID]core.Instant

	jobs            map[core.RequestID]*job
	roundRobinIndex int // of StrategyRoundRobin
	seq             uint64
	nonce           uint64
	timers          schedule.Queue[core.Instant, timer]
}

// New returns a Placer of the Instance self in the DataCentre dc.
func New(self core.InstanceRef, dc core.DataCentreName, p Params) *Placer {
	return &Placer{
		self:            self,
		localDataCentre: dc,
		params:          p.withDefaults(),
		dataCentres:     map[core.DataCentreName]*dataCentreState{},
		services:        map[core.ServiceName]*service{},
		engines:         map[core.UpstreamID]*engine{},
		prefixIndex:     prefixIndex{},
		pendingDeltas:   map[core.UpstreamID]*LoadDelta{},
		holderRetryAt:   map[core.InstanceID]core.Instant{},
		jobs:            map[core.RequestID]*job{},
	}
}

// Submit places the job, requests a reservation for it, queues it or refuses it. A job
// with the ID of a known one replaces it.
func (p *Placer) Submit(now core.Instant, submitted Job) []Output {
	outputs := p.Release(now, submitted.ID)
	target := p.poolFor(submitted)
	if p.params.FIFO {
		submitted.Account, submitted.Priority = "", 0
	}
	p.seq++
	j := &job{Job: submitted, seq: p.seq, pool: target, arrivedAt: now, expiresAt: submitted.Deadline}
	switch {
	case target == nil || len(target.decode.regions) == 0:
		return append(outputs, j.refuse(core.CodeNoUpstream, 0, "the service has no upstream for the model"))
	case submitted.Deadline <= now:
		return append(outputs, j.refuse(core.CodeDeadlineExceeded, 0, "the deadline has passed"))
	}
	j.queuedClass = j.class(target.service.Policy)
	queue := target.queue.queueOf(j.queuedClass)
	if queue.queuedJobs(submitted.Account) >= p.params.MaxQueuedPerAccount {
		return append(outputs, j.refuse(core.CodeNoCapacity, time.Second, "too many requests of the account are waiting"))
	}
	if j.refusesEarly() {
		ttftTarget := target.service.Targets.TimeToFirstToken
		j.expiresAt = min(j.expiresAt, now.Add(ttftTarget))
		if wait := target.dispatchInterval * time.Duration(target.queue.jobsAhead(j.queuedClass)); wait > ttftTarget {
			return append(outputs, j.refuse(core.CodeTargetUnreachable, wait-ttftTarget, "the queue is longer than the first-token target"))
		}
	}
	p.jobs[submitted.ID] = j
	target.queue.push(j)
	outputs = append(outputs, p.dispatchPool(now, target)...)
	if j.state == jobQueued && p.jobs[submitted.ID] == j {
		p.addTimer(timer{at: j.expiresAt, id: submitted.ID, seq: j.seq})
	}
	return outputs
}

// refusesEarly reports whether the job is refused when it can't meet its first-token
// target.
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

// refuseJob refuses a known job and removes it.
func (p *Placer) refuseJob(now core.Instant, j *job, code core.Code, message string) []Output {
	outputs := p.Release(now, j.ID)
	return append(outputs, j.refuse(code, 0, message))
}

// CancelPending removes a job that isn't placed yet. Placed and unknown jobs are ignored.
func (p *Placer) CancelPending(now core.Instant, id core.RequestID) []Output {
	if j := p.jobs[id]; j == nil || j.state == jobPlaced {
		return nil
	}
	return p.Release(now, id)
}

// Release removes a job, ends its reservation and removes its load from its engines. An
// unknown ID is ignored.
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
		p.removeTentativeLoad(now, j)
		return p.endReservation(now, j)
	}
	outputs := p.releasePlaced(now, j)
	return append(outputs, p.dispatchPools(now, j.decode.service.poolsOf(j.decode))...)
}

func (p *Placer) releasePlaced(now core.Instant, j *job) []Output {
	j.decode.releaseSlot(now, j.ID)
	p.recordDelta(j.decode, 0, -1, 0)
	if j.prefill == nil {
		return nil
	}
	j.prefill.outstanding--
	if used := now.Sub(j.decodeStart); used > 0 {
		j.decode.service.recordSlotTime(j, used)
	}
	return p.endReservation(now, j)
}

// dispatchPools dispatches the queued jobs of the pools.
func (p *Placer) dispatchPools(now core.Instant, pools []*pool) []Output {
	var outputs []Output
	for _, target := range pools {
		if target.queue.length > 0 {
			outputs = append(outputs, p.dispatchPool(now, target)...)
		}
	}
	return outputs
}

// dispatchPool dispatches queued jobs in order until one has to wait.
func (p *Placer) dispatchPool(now core.Instant, target *pool) []Output {
	var outputs []Output
	target.retryAt = core.Never
	for {
		j := target.queue.peek()
		if j == nil {
			return outputs
		}
		c := p.choose(now, j)
		if c.decision == decisionWait {
			target.retryAt = now.Add(p.params.RetryInterval)
			return outputs
		}
		target.queue.pop()
		if c.decision == decisionRefuse {
			delete(p.jobs, j.ID)
			outputs = append(outputs, j.refuse(core.CodeTargetUnreachable, c.firstToken, c.refusalMessage()))
			continue
		}
		target.recordDispatch(now, j)
		outputs = append(outputs, p.startJob(now, j, c)...)
		if j.state == jobQueued {
			return outputs // put back, because no engine granted a slot
		}
	}
}

// recordDispatch updates the mean interval between dispatches of queued jobs.
func (p *pool) recordDispatch(now core.Instant, j *job) {
	if j.arrivedAt < now && p.lastDispatch > j.arrivedAt {
		sample := now.Sub(p.lastDispatch)
		p.dispatchInterval += time.Duration(intervalSmoothing * float64(sample-p.dispatchInterval))
	}
	p.lastDispatch = now
}

func (c choice) refusalMessage() string {
	return fmt.Sprintf("the first token would take %d ms", c.firstToken.Milliseconds())
}

// startJob places a popped job on the chosen engines or requests a reservation for it.
func (p *Placer) startJob(now core.Instant, j *job, c choice) []Output {
	if j.pool.service.Kind == KindPlain {
		j.state = jobPlaced
		j.decode = c.decode
		j.decode.outstanding++
		j.decode.adjustLoad(now, loadAdjustment{id: j.ID, at: now, slots: 1})
		p.recordDelta(j.decode, 0, 1, 0)
		return []Output{PlainPlacement{ID: j.ID, Upstream: c.decode.ID}}
	}
	if p.params.NoReservation {
		return p.placeWithoutReservation(now, j, c)
	}
	return p.reserve(now, j, c)
}

// place starts a job whose slot is free after c.slotDelay and reserved for term.
func (p *Placer) place(now core.Instant, j *job, c choice, term time.Duration) []Output {
	lead := c.queueDelay + c.prefillTime
	start := now.Add(max(0, c.slotDelay-lead))
	j.state = jobPlaced
	j.prefill = c.prefill
	j.expectedCachedTokens = c.expectedCachedTokens
	j.reservedUntil = now.Add(term)
	j.decodeStart = now.Add(c.firstToken)
	bytes := p.kvBytes(c.prefill, j)
	j.kvBytes = bytes
	j.queuedTokensAhead = c.prefill.prefillBacklog.remaining(start)
	p.addTransfer(now, c.prefill.dc, c.decode.dc, bytes)
	c.prefill.outstanding++
	c.prefill.adjustLoad(now, loadAdjustment{id: j.ID, at: start, tokens: c.prefillTokens})
	c.decode.outstanding++
	c.decode.adjustLoad(now, loadAdjustment{id: j.ID, at: j.decodeStart, slots: 1})
	p.recordDelta(c.prefill, c.prefillTokens, 0, bytes)
	decodeBytes := bytes
	if c.prefill.dc == c.decode.dc {
		decodeBytes = 0
	}
	p.recordDelta(c.decode, 0, 1, decodeBytes)
	return []Output{ModelPlacement{
		ID:             j.ID,
		Prefill:        c.prefill.ID,
		Decode:         c.decode.ID,
		StartPrefillAt: start,
		SlotFreeAt:     now.Add(c.slotDelay),
		ReservedUntil:  j.reservedUntil,
	}}
}

// Tick handles the timers that are due at now and dispatches pools whose retry is due.
func (p *Placer) Tick(now core.Instant) []Output {
	var outputs []Output
	for {
		due, _, ok := p.timers.PopDue(now)
		if !ok {
			break
		}
		outputs = append(outputs, p.onTimer(now, due)...)
	}
	for _, target := range p.pools {
		if target.retryAt <= now {
			outputs = append(outputs, p.dispatchPool(now, target)...)
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
		return p.refuseJob(now, j, core.CodeDeadlineExceeded, "the deadline passed while the request was waiting")
	}
	return p.refuseJob(now, j, core.CodeTargetUnreachable, "the first-token target passed while the request was waiting")
}

// NextWake returns the time at which Tick must be called next, or core.Never.
func (p *Placer) NextWake() core.Instant {
	wakeAt := core.Never
	if next, ok := p.timers.NextTime(); ok {
		wakeAt = next
	}
	for _, target := range p.pools {
		wakeAt = min(wakeAt, target.retryAt)
	}
	return wakeAt
}

// timer fires when a job expires, or, if nonce is set, when its reservation request
// times out.
type timer struct {
	at    core.Instant
	id    core.RequestID
	seq   uint64
	nonce uint64
}

func (p *Placer) addTimer(t timer) { p.timers.Add(t.at, t) }
