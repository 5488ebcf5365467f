// Package dispatch decides which Upstreams serve a request, which requests wait
// and which are refused, for Upstreams that hold places themselves. It is pure:
// instants come with each call, and randomness with Params.
//
// A model request first gets a place at a decode engine, then a prefill, so that
// no prompt is read for an engine that has no room. Requests wait in order of
// priority and arrival while no decode engine has room. A request that can no
// longer meet its latency target by starting now is refused at once as not run;
// a request for which there is room is never refused.
//
// The load of an Upstream is what this Instance and its peers have placed there.
// The answer of an engine to a hold corrects it.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Job is a request that asks for Upstreams.
type Job struct {
	ID      core.RequestID
	Service core.ServiceName
	// IsModelRequest says that the request needs a place at a decode engine. Others
	// need one Upstream.
	IsModelRequest bool
	// MemoryTokens is the memory to hold at a decode engine.
	MemoryTokens int
	// PromptTokens is the work of a prefill.
	PromptTokens int
	// Priority is the rank, 0 for the most urgent.
	Priority    int
	ArrivalTime core.Instant
	// LatencyDeadline is the instant of the latency target.
	LatencyDeadline core.Instant
	// Deadline is the instant at which the request ends in any case.
	Deadline core.Instant
	// AvoidUpstreams lists Upstreams that are used only when no other is usable.
	AvoidUpstreams []core.UpstreamID
	// IsRetry says that the request has been placed before. It is not refused for a
	// missed target, and goes before new requests of its priority.
	IsRetry bool
}

// Load is what Instances have placed on an Upstream.
type Load struct {
	// Requests counts the requests in progress.
	Requests int `json:"requests"`
	// Tokens is the memory held at a decode engine, or the prompt tokens in
	// progress at a prefill engine.
	Tokens int `json:"tokens"`
}

// EngineCapacity describes the model engines of a service.
type EngineCapacity struct {
	Slots        int
	MemoryTokens int
}

// Output is one thing that the caller of the Dispatcher must do.
type Output interface{ output() }

// Hold asks a decode engine for a place.
type Hold struct {
	ID       core.RequestID
	Upstream core.UpstreamID
	Tokens   int
}

// Call sends a request to an Upstream of a plain service.
type Call struct {
	ID       core.RequestID
	Upstream core.UpstreamID
}

// Refused ends a job that has no place.
type Refused struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

func (Hold) output()    {}
func (Call) output()    {}
func (Refused) output() {}

// Params are the settings of a Dispatcher. Zero values select defaults.
type Params struct {
	// Rand is the source of randomness. It is required.
	Rand *rand.Rand
	// DataCentre is where this Instance runs, Regions the region of each.
	DataCentre core.DataCentreName
	Regions    map[core.DataCentreName]core.RegionName
	// QueueRetryInterval is the pause before the head of a queue is tried again.
	QueueRetryInterval time.Duration
	// FullBackoff is the time for which an engine that refused a hold is left alone.
	FullBackoff time.Duration
	// PrefillTokensPerSecond is the speed of a prefill engine that has not been
	// measured yet.
	PrefillTokensPerSecond float64
	// FirstEventDelay is the time from the end of a prefill to the first event of a
	// stream, before the first measurement.
	FirstEventDelay time.Duration
	// RetryAfter is the base of the time after which refused callers return.
	RetryAfter time.Duration
}

const (
	// Two retries fit into the time that an idle engine takes to free a place.
	defaultQueueRetryInterval = 20 * time.Millisecond
	// A decode frees a place about every 100 ms on a busy engine.
	defaultFullBackoff = 60 * time.Millisecond
	// The speed of the engines of both deployments at half load.
	defaultPrefillTokensPerSecond = 40_000
	// One event of 50 tokens takes 60 ms, plus the transfer.
	defaultFirstEventDelay = 120 * time.Millisecond
	// Bursts last a few seconds.
	defaultRetryAfter = 2 * time.Second
)

func (p Params) withDefaults() Params {
	setDefault(&p.QueueRetryInterval, defaultQueueRetryInterval)
	setDefault(&p.FullBackoff, defaultFullBackoff)
	setDefault(&p.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setDefault(&p.FirstEventDelay, defaultFirstEventDelay)
	setDefault(&p.RetryAfter, defaultRetryAfter)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Dispatcher is the state of one Instance.
type Dispatcher struct {
	params         Params
	upstreams      map[core.UpstreamID]*upstream
	byService      map[core.ServiceName][]*upstream // sorted by ID
	engines        map[core.ServiceName]EngineCapacity
	queue          []*job // in the order of service
	jobs           map[core.RequestID]*job
	peers          map[core.InstanceID]map[core.UpstreamID]Load
	nextQueueRetry core.Instant
	// firstEventDelay follows the time from the end of a prefill to the first event.
	firstEventDelay time.Duration
	// placementRates follows the time between two placements of waiting jobs, per service.
	placementRates map[core.ServiceName]*placementRate
}

type job struct {
	Job
	waiting   bool
	hasWaited bool      // found no place at first
	decode    *upstream // holds MemoryTokens there
	prefill   *upstream // holds PromptTokens there
	plain     *upstream
	refusedBy []core.UpstreamID // engines that refused a hold since the last try
}

type upstream struct {
	catalog.Upstream
	own  Load
	peer Load
	// fullUntil is set when the engine refused a hold.
	fullUntil core.Instant
	// unreachableUntil is set when the Upstream could not be reached.
	unreachableUntil    core.Instant
	consecutiveFailures int
	// failureRate follows the share of requests that failed.
	failureRate float64
}

// New returns a Dispatcher that knows no Upstream.
func New(p Params) *Dispatcher {
	p = p.withDefaults()
	return &Dispatcher{
		params:          p,
		upstreams:       map[core.UpstreamID]*upstream{},
		byService:       map[core.ServiceName][]*upstream{},
		engines:         map[core.ServiceName]EngineCapacity{},
		jobs:            map[core.RequestID]*job{},
		peers:           map[core.InstanceID]map[core.UpstreamID]Load{},
		nextQueueRetry:  core.Never,
		firstEventDelay: p.FirstEventDelay,
		placementRates:  map[core.ServiceName]*placementRate{},
	}
}

// SetEngineCapacity tells the size of the model engines of each service.
func (d *Dispatcher) SetEngineCapacity(engines map[core.ServiceName]EngineCapacity) {
	d.engines = engines
}

// SetUpstreams takes in the registered Upstreams. Requests in progress at an
// Upstream that is gone stay counted until they end.
func (d *Dispatcher) SetUpstreams(now core.Instant, list []catalog.Upstream) []Output {
	known := d.upstreams
	d.upstreams = make(map[core.UpstreamID]*upstream, len(list))
	clear(d.byService)
	for _, entry := range list {
		up := known[entry.ID]
		if up == nil || !up.SameRun(entry) {
			up = &upstream{}
		}
		up.Upstream = entry
		d.upstreams[entry.ID] = up
		d.byService[entry.Service] = append(d.byService[entry.Service], up)
	}
	d.sumPeerLoads()
	return d.placeQueue(now)
}

// Submit takes in a job.
func (d *Dispatcher) Submit(now core.Instant, j Job) []Output {
	entry := &job{Job: j}
	d.jobs[j.ID] = entry
	d.enqueue(entry)
	return d.placeQueue(now)
}

func (d *Dispatcher) enqueue(j *job) {
	j.waiting = true
	at := len(d.queue)
	for i, other := range d.queue {
		if precedes(j, other) {
			at = i
			break
		}
	}
	d.queue = slices.Insert(d.queue, at, j)
}

// precedes is the order of service: by priority, then requests that were placed
// precedes, then by arrival.
func precedes(a, b *job) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.IsRetry != b.IsRetry {
		return a.IsRetry
	}
	return a.ArrivalTime < b.ArrivalTime
}

// OnHoldGranted says that the engine holds the place. It returns the prefill engine
// to use with the time that the prefill is expected to take, or false when none is
// usable: the decode engine then reads the prompt.
func (d *Dispatcher) OnHoldGranted(now core.Instant, id core.RequestID) (core.UpstreamID, time.Duration, bool) {
	j := d.jobs[id]
	if j == nil || j.decode == nil {
		return "", 0, false
	}
	j.decode.consecutiveFailures = 0
	up := d.choosePrefill(now, j)
	if up == nil {
		return "", 0, false
	}
	took := d.prefillTimeAt(up, j)
	j.prefill = up
	up.own.Requests++
	up.own.Tokens += j.PromptTokens
	return up.ID, took, true
}

// OnHoldRefused says that the engine gave no place.
func (d *Dispatcher) OnHoldRefused(now core.Instant, id core.RequestID) []Output {
	j := d.jobs[id]
	if j == nil || j.decode == nil {
		return nil
	}
	j.decode.fullUntil = now.Add(d.params.FullBackoff)
	j.refusedBy = append(j.refusedBy, j.decode.ID)
	d.releaseDecode(j)
	d.enqueue(j)
	return d.placeQueue(now)
}

// OnPrefillDone frees the prefill engine.
func (d *Dispatcher) OnPrefillDone(id core.RequestID) {
	if j := d.jobs[id]; j != nil {
		releasePrefill(j)
	}
}

// ObserveFirstEventDelay tells how long the first event took after the end of its prefill.
func (d *Dispatcher) ObserveFirstEventDelay(took time.Duration) {
	d.firstEventDelay += (took - d.firstEventDelay) / 16
}

// Release ends a job, or takes back its place so that it can be submitted again.
func (d *Dispatcher) Release(now core.Instant, id core.RequestID) []Output {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	delete(d.jobs, id)
	d.releaseDecode(j)
	releasePrefill(j)
	if j.plain != nil {
		j.plain.own.Requests--
		j.plain = nil
	}
	if j.waiting {
		d.queue = slices.DeleteFunc(d.queue, func(other *job) bool { return other == j })
	}
	return d.placeQueue(now)
}

func (d *Dispatcher) releaseDecode(j *job) {
	if j.decode == nil {
		return
	}
	j.decode.own.Requests--
	j.decode.own.Tokens -= j.MemoryTokens
	j.decode = nil
}

func releasePrefill(j *job) {
	if j.prefill == nil {
		return
	}
	j.prefill.own.Requests--
	j.prefill.own.Tokens -= j.PromptTokens
	j.prefill = nil
}

// Tick places waiting jobs and refuses those that can't meet their target.
func (d *Dispatcher) Tick(now core.Instant) []Output {
	if len(d.queue) == 0 {
		d.nextQueueRetry = core.Never
		return nil
	}
	if now < d.nextQueueRetry {
		return nil
	}
	return d.placeQueue(now)
}

// NextWake returns the instant at which Tick is due.
func (d *Dispatcher) NextWake() core.Instant { return d.nextQueueRetry }

// QueueLength returns the number of waiting jobs.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// QueueLengthByService returns the number of waiting jobs of each service that has any.
func (d *Dispatcher) QueueLengthByService() map[core.ServiceName]int {
	waiting := map[core.ServiceName]int{}
	for _, j := range d.queue {
		waiting[j.Service]++
	}
	return waiting
}

// placeQueue places the jobs of the queue in order. A job that finds no place does not
// keep back those behind it that need another service or less room.
func (d *Dispatcher) placeQueue(now core.Instant) []Output {
	var outputs []Output
	kept := d.queue[:0]
	ahead := map[core.ServiceName]int{}
	for _, j := range slices.Clone(d.queue) {
		if output := d.place(now, j); output != nil {
			j.waiting = false
			d.placementRateOf(j.Service).onPlaced(now, j.hasWaited)
			outputs = append(outputs, output)
			continue
		}
		if refusal := d.refusalIfTooLate(now, j, ahead[j.Service]); refusal != nil {
			j.waiting = false
			delete(d.jobs, j.ID)
			outputs = append(outputs, Refused{ID: j.ID, Refusal: refusal})
			continue
		}
		if !j.hasWaited {
			j.hasWaited = true
			d.placementRateOf(j.Service).onQueued(now, ahead[j.Service] == 0)
		}
		ahead[j.Service]++
		kept = append(kept, j)
	}
	clear(d.queue[len(kept):])
	d.queue = kept
	d.nextQueueRetry = core.Never
	if len(d.queue) > 0 {
		d.nextQueueRetry = now.Add(d.params.QueueRetryInterval)
	}
	return outputs
}

func (d *Dispatcher) place(now core.Instant, j *job) Output {
	if j.IsModelRequest {
		up := d.chooseDecode(now, j)
		if up == nil {
			j.refusedBy = nil
			return nil
		}
		j.decode = up
		up.own.Requests++
		up.own.Tokens += j.MemoryTokens
		return Hold{ID: j.ID, Upstream: up.ID, Tokens: j.MemoryTokens}
	}
	up := d.choosePlain(now, j)
	if up == nil {
		return nil
	}
	j.plain = up
	up.own.Requests++
	return Call{ID: j.ID, Upstream: up.ID}
}

// refusalIfTooLate returns the refusal of a job that can't meet its target any more: its
// time is over, or those ahead of it take longer than it may wait. It is refused
// at once then, since waiting would gain its caller nothing.
func (d *Dispatcher) refusalIfTooLate(now core.Instant, j *job, ahead int) *core.Refusal {
	by := j.LatencyDeadline.Add(-d.timeToFirstEvent(now, j))
	start := now
	if !j.hasWaited {
		start = now.Add(d.placementRateOf(j.Service).expectedWait(ahead))
	}
	if j.IsRetry {
		by, start = j.Deadline, now
	}
	if start < min(by, j.Deadline) {
		return nil
	}
	code, message := core.CodeTargetUnreachable, "no engine has room in time for the latency target"
	if len(d.byService[j.Service]) == 0 {
		code, message = core.CodeNoUpstream, "no Upstream of the service is registered"
	}
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = d.retryAfter()
	return refusal
}

// retryAfter spreads the returns over as long as the shortest wait.
func (d *Dispatcher) retryAfter() time.Duration {
	return d.params.RetryAfter + time.Duration(d.params.Rand.Float64()*float64(d.params.RetryAfter))
}

// timeToFirstEvent is the time from a start to the answer.
func (d *Dispatcher) timeToFirstEvent(now core.Instant, j *job) time.Duration {
	if !j.IsModelRequest {
		return 0
	}
	return d.shortestPrefillTime(now, j) + d.firstEventDelay
}
