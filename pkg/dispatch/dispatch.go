// Package dispatch decides which Upstreams serve a request, which requests wait
// and which are refused, for Upstreams that grant holds themselves. It is pure:
// every call passes the current instant, and Params the source of randomness.
//
// A model request first acquires a hold at a decode engine and is then assigned a
// prefill engine, so that no prompt is processed for a decode engine without capacity.
// Requests wait in order of priority, and fairly by account (package fairqueue), while no
// decode engine has capacity. A request that can no longer meet its latency target is
// refused immediately as not run; a request for which there is capacity is never refused.
//
// The load of an Upstream is the sum of what this Instance and its peers have placed
// there. It is an estimate, and an engine that is fuller than that refuses the hold.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fairqueue"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// Job is a request to be placed on Upstreams.
type Job struct {
	ID      core.RequestID
	Service core.ServiceName
	// IsModelRequest is set when the request needs a hold at a decode engine. Other
	// requests need one Upstream of a plain service.
	IsModelRequest bool
	// MemoryTokens is the memory to hold at a decode engine, in tokens.
	MemoryTokens int
	// PromptTokens is the length of the prompt, which is the work of the prefill, and Prompt its parts as
	// Params.HeldPrompts knows them.
	PromptTokens int
	Prompt       promptcache.Prompt
	// Priority orders the queue, 0 for the most urgent.
	Priority    int
	ArrivalTime core.Instant
	// LatencyDeadline is the instant by which the latency target requires a response.
	LatencyDeadline core.Instant
	// Deadline is the instant at which the request ends in any case.
	Deadline core.Instant
	// AvoidUpstreams lists Upstreams that are used only when no other is usable.
	AvoidUpstreams []core.UpstreamID
	// IsRetry is set when the request has been placed before. It is not refused for a
	// missed latency target, and precedes new requests of its priority.
	IsRetry bool
	// Regions are the regions in which the job may be processed.
	Regions locality.Set
	// Account is charged with the job. Jobs without one count to one common account.
	Account core.AccountID
	// Weight is the share of the account in the service, relative to that of other accounts.
	Weight float64
	// Cost is what the job takes of that share.
	Cost int64
}

// Load is the work that Instances have placed on an Upstream.
type Load struct {
	// Requests counts the requests in progress.
	Requests int `json:"requests"`
	// Tokens is the memory held at a decode engine, or the prompt tokens in
	// progress at a prefill engine without those that it is expected to hold.
	Tokens int `json:"tokens"`
}

// EngineCapacity describes the model engines of a service.
type EngineCapacity struct {
	Slots        int
	MemoryTokens int
}

// Output is an action that the user of the Dispatcher must carry out.
type Output interface{ output() }

// Hold requests a hold at a decode engine. The result is passed to OnHoldGranted or
// OnHoldRefused.
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

// Refused ends a job that could not be placed.
type Refused struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

func (Hold) output()    {}
func (Call) output()    {}
func (Refused) output() {}

// Announcements says what Upstreams announce about themselves.
type Announcements interface {
	// Availability returns what an Upstream announces of its use.
	Availability(id core.UpstreamID) announce.Availability
	// Limited reports whether an Upstream takes requests at a limited rate.
	Limited(now core.Instant, id core.UpstreamID) bool
	// Allow reports whether a number of requests may be sent now, and counts them if so.
	// Otherwise it returns the time after which they may be.
	Allow(now core.Instant, id core.UpstreamID, requests int) (bool, time.Duration)
	// Return gives back requests that were allowed and not sent.
	Return(now core.Instant, id core.UpstreamID, requests int)
}

// noAnnouncements is used for Upstreams that announce nothing.
type noAnnouncements struct{}

func (noAnnouncements) Availability(core.UpstreamID) announce.Availability {
	return announce.Availability{}
}
func (noAnnouncements) Limited(core.Instant, core.UpstreamID) bool { return false }
func (noAnnouncements) Allow(core.Instant, core.UpstreamID, int) (bool, time.Duration) {
	return true, 0
}
func (noAnnouncements) Return(core.Instant, core.UpstreamID, int) {}

const (
	// requestsOfHold is the number of requests to a decode engine that gets a hold: that for
	// the hold, and the run or the release of the hold.
	requestsOfHold = 2
	// requestsOfCall is the number of requests of a prefill or of a plain request.
	requestsOfCall = 1
)

// Params are the settings of a Dispatcher. Zero values select defaults.
type Params struct {
	// Rand is the source of randomness. It is required.
	Rand *rand.Rand
	// DataCentre is the one in which this Instance runs, Regions the region of each
	// DataCentre.
	DataCentre core.DataCentreName
	Regions    map[core.DataCentreName]core.RegionName
	// Announcements says what Upstreams announce, nil if they announce nothing.
	Announcements Announcements
	// Warmup says which cold Upstreams this Instance may send to, nil if none is ever cold.
	Warmup *warmup.Registry
	// Pace estimates how long work takes at Upstreams, nil if it takes the usual time at all.
	Pace *pace.Registry
	// HeldPrompts estimates which prefill engines hold a part of a prompt, nil if none does.
	HeldPrompts *promptcache.Estimator
	// QueueRetryInterval is the time after which the placement of waiting jobs is
	// attempted again.
	QueueRetryInterval time.Duration
	// FullBackoff is the time for which an engine that refused a hold is not used.
	FullBackoff time.Duration
	// PrefillTokensPerSecond is the assumed speed of a prefill engine.
	PrefillTokensPerSecond float64
	// FirstEventDelay is the initial estimate of the time from the end of a prefill to
	// the first event of the stream.
	FirstEventDelay time.Duration
	// RetryAfter is the shortest time after which refused callers are told to retry, the
	// longest being twice that.
	RetryAfter time.Duration
}

const (
	// An idle engine takes about two of these intervals to free a slot.
	defaultQueueRetryInterval = 20 * time.Millisecond
	// A busy decode engine frees a slot about every 100 ms.
	defaultFullBackoff = 60 * time.Millisecond
	// The speed of the engines of both deployments at half load.
	defaultPrefillTokensPerSecond = 40_000
	// One event of 50 tokens takes 60 ms, in addition to the transfer of the KV cache.
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
	if p.Announcements == nil {
		p.Announcements = noAnnouncements{}
	}
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Dispatcher places the requests of one Instance. It is not safe for concurrent use.
type Dispatcher struct {
	params         Params
	upstreams      map[core.UpstreamID]*upstream
	byService      map[core.ServiceName][]*upstream // in the order of SetUpstreams
	engines        map[core.ServiceName]EngineCapacity
	queues         map[core.ServiceName]*serviceQueue
	queueOrder     []*serviceQueue // by the first job of each service
	waiting        int             // jobs in all queues
	refusals       map[int]int     // by priority, since the start
	jobs           map[core.RequestID]*job
	peers          map[core.InstanceID]map[core.UpstreamID]Load
	evacuated      map[core.DataCentreName]bool
	nextQueueRetry core.Instant
	listed         bool // the Upstreams are known
	// firstEventDelay is the moving average of the time from the end of a prefill to the
	// first event.
	firstEventDelay time.Duration
	// placementRates estimates the speed of the queue of each service.
	placementRates map[core.ServiceName]*placementRate
	pacesRefreshAt core.Instant
	overdue        []*upstream       // see refreshOverdue
	ties           []*upstream       // of the last choice, kept for its capacity
	holders        []core.UpstreamID // of the last prompt, kept for its capacity
}

type job struct {
	Job
	entry     fairqueue.Entry[*job]
	hasWaited bool // could not be placed when it was submitted
	// restrained is set while the account must leave places free for others.
	restrained bool
	demand     *fairqueue.AccountDemand // of its account
	decode     *upstream                // MemoryTokens are held there
	prefill    *upstream                // PromptTokens without held.Tokens count as its load
	held       promptcache.Expectation
	prefilled  bool // the prefill at prefill is complete
	plain      *upstream
	work       attemptWork // at prefill or plain
	// limitWait is the time until an Upstream may be sent the job, if all usable ones are at the
	// rate that they announce.
	limitWait time.Duration
	// backoffWait is the time until an Upstream takes requests again, if all that could be sent the
	// job want none.
	backoffWait time.Duration
	refusedBy   []core.UpstreamID // engines that refused a hold, cleared when no other engine can be chosen
}

type upstream struct {
	catalog.Upstream
	// announced is what the Upstream itself says of its use.
	announced announce.Availability
	// expected is what a prefill engine holds of the prompt for which one is being chosen.
	expected promptcache.Expectation
	// omitted counts the prompt tokens in progress that are not in own because the engine is expected
	// to hold them.
	omitted int
	// cold is what is known of a cold Upstream, nil for one that was never cold.
	cold *warmup.Upstream
	// evacuated is set while nothing is to be sent to the DataCentre of the Upstream.
	evacuated bool
	own       Load
	peer      Load
	expectation
	place
	// fullUntil is the end of the backoff after a refused hold.
	fullUntil core.Instant
	// unreachableUntil is the end of the backoff after a failed connection.
	unreachableUntil    core.Instant
	consecutiveFailures int
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
}

// New returns a Dispatcher without Upstreams.
func New(p Params) *Dispatcher {
	p = p.withDefaults()
	return &Dispatcher{
		params:          p,
		upstreams:       map[core.UpstreamID]*upstream{},
		byService:       map[core.ServiceName][]*upstream{},
		engines:         map[core.ServiceName]EngineCapacity{},
		queues:          map[core.ServiceName]*serviceQueue{},
		refusals:        map[int]int{},
		jobs:            map[core.RequestID]*job{},
		peers:           map[core.InstanceID]map[core.UpstreamID]Load{},
		nextQueueRetry:  core.Never,
		firstEventDelay: p.FirstEventDelay,
		placementRates:  map[core.ServiceName]*placementRate{},
	}
}

// SetEngineCapacity sets the capacity of one model engine of each service.
func (d *Dispatcher) SetEngineCapacity(engines map[core.ServiceName]EngineCapacity) {
	d.engines = engines
}

// SetUpstreams replaces the registered Upstreams. An Upstream that is still the same
// process keeps its load and its failures. Requests in progress at a removed Upstream
// remain known until Release.
func (d *Dispatcher) SetUpstreams(now core.Instant, list []catalog.Upstream) []Output {
	known := d.upstreams
	d.upstreams = make(map[core.UpstreamID]*upstream, len(list))
	clear(d.byService)
	d.listed = true
	for _, entry := range list {
		up := known[entry.ID]
		if up == nil || !up.SameProcess(entry) {
			up = &upstream{}
		}
		d.setEntry(up, entry)
		d.updatePace(now, up)
		d.upstreams[entry.ID] = up
		d.byService[entry.Service] = append(d.byService[entry.Service], up)
	}
	d.sumPeerLoads()
	return d.placeQueue(now)
}

// setEntry sets the entry of a registered Upstream.
func (d *Dispatcher) setEntry(up *upstream, entry catalog.Upstream) {
	up.Upstream = entry
	up.place = d.placeOf(entry)
	up.announced = d.params.Announcements.Availability(entry.ID)
	up.cold = d.coldState(entry.ID)
	up.evacuated = d.evacuated[entry.DataCentre]
}

// OnAnnouncement takes over a new announcement of an Upstream, which may change which of the
// waiting jobs can be placed.
func (d *Dispatcher) OnAnnouncement(now core.Instant, id core.UpstreamID) []Output {
	if up := d.upstreams[id]; up != nil {
		up.announced = d.params.Announcements.Availability(id)
	}
	return d.placeQueue(now)
}

// Submit adds a job and places as many waiting jobs as possible.
func (d *Dispatcher) Submit(now core.Instant, j Job) []Output {
	entry := newJob(j)
	d.jobs[j.ID] = entry
	q := d.queueOf(j.Service)
	q.Add(now, &entry.entry)
	if !j.IsRetry {
		q.demand.Count(now, j.Account, j.Weight, j.Cost)
	}
	entry.demand = q.demand.Of(now, j.Account)
	d.waiting++
	return d.placeQueue(now)
}

// OnHoldGranted handles a granted hold. It returns the prefill engine to use and the
// expected time until its prefill is complete, or false when no prefill engine is usable
// and the decode engine has to process the prompt.
func (d *Dispatcher) OnHoldGranted(now core.Instant, id core.RequestID) (core.UpstreamID, time.Duration, bool) {
	j := d.jobs[id]
	if j == nil || j.decode == nil {
		return "", 0, false
	}
	j.decode.consecutiveFailures = 0
	d.refreshPaces(now)
	up, held := d.choosePrefill(now, j)
	if up == nil {
		return "", 0, false
	}
	duration := d.wholePrefillTime(up, j)
	j.prefill, j.held = up, held
	j.work = prefillWork(now, up, j)
	d.addPrefill(now, j)
	return up.ID, duration, true
}

// OnHoldRefused handles a refused hold: the engine is not used for FullBackoff and the
// job returns to the queue.
func (d *Dispatcher) OnHoldRefused(now core.Instant, id core.RequestID) []Output {
	j := d.jobs[id]
	if j == nil || j.decode == nil {
		return nil
	}
	j.decode.fullUntil = now.Add(d.params.FullBackoff)
	j.refusedBy = append(j.refusedBy, j.decode.ID)
	d.params.Announcements.Return(now, j.decode.ID, requestsOfHold-1)
	j.returnColdPlace(now)
	d.releaseDecode(j)
	d.queueOf(j.Service).Return(&j.entry)
	d.waiting++
	return d.placeQueue(now)
}

// OnPrefillDone removes the load of the job from its prefill engine.
func (d *Dispatcher) OnPrefillDone(id core.RequestID) {
	if j := d.jobs[id]; j != nil {
		d.releasePrefill(j)
	}
}

// ObserveFirstEventDelay records the time from the end of a prefill to the first event of
// its stream.
func (d *Dispatcher) ObserveFirstEventDelay(delay time.Duration) {
	d.firstEventDelay += (delay - d.firstEventDelay) / 16
}

// Release removes a job and its load. A job that is to be retried is submitted again
// afterwards.
func (d *Dispatcher) Release(now core.Instant, id core.RequestID) []Output {
	j := d.jobs[id]
	if j == nil {
		return nil
	}
	delete(d.jobs, id)
	d.releaseDecode(j)
	d.releasePrefill(j)
	if j.plain != nil {
		j.plain.own.Requests--
		j.plain = nil
	}
	if j.entry.Waits() {
		d.queueOf(j.Service).Remove(&j.entry)
		d.waiting--
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

// Tick places waiting jobs and refuses those that can't meet their latency target.
func (d *Dispatcher) Tick(now core.Instant) []Output {
	if d.waiting == 0 {
		d.nextQueueRetry = core.Never
		return nil
	}
	if now < d.nextQueueRetry {
		return nil
	}
	return d.placeQueue(now)
}

// NextWake returns the instant at which Tick is due, core.Never when no job waits.
func (d *Dispatcher) NextWake() core.Instant { return d.nextQueueRetry }

func (d *Dispatcher) placeAtBest(now core.Instant, j *job) Output {
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
	j.work = plainWork(now, up)
	up.own.Requests++
	return Call{ID: j.ID, Upstream: up.ID}
}
