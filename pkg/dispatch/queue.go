package dispatch

import (
	"maps"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fairqueue"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// serviceQueue holds the waiting jobs of one service.
type serviceQueue struct {
	fairqueue.Queue[*job]
	service core.ServiceName
	demand  fairqueue.Demand
	// contendedUntil is the end of the time in which accounts far above their share are restrained.
	contendedUntil core.Instant
}

const (
	// contentionTime is the time after a job had to wait, of an account that is not far above its
	// share, in which those that are stay restrained. Without it they would fill the
	// Upstreams again as soon as nobody waits, and the next job of another account would be late in
	// the queue of an Upstream.
	contentionTime = 5 * time.Second
	// restrainedRequestsPerSlot replaces maxPlainRequestsPerSlot, and restrainedPrefillBacklog
	// maxPrefillBacklog, for restrained accounts. Both still keep all Upstreams busy.
	restrainedRequestsPerSlot = 1.5
	restrainedPrefillBacklog  = 300 * time.Millisecond
)

// updateRestraint decides whether a job leaves places free for other accounts.
func (q *serviceQueue) updateRestraint(now core.Instant, j *job) {
	j.restrained = now < q.contendedUntil && q.demand.IsFarAbove(now, j.demand)
}

// onKept records that a job has to wait. Only one of an account that is not far above its share shows
// that others lack places.
func (q *serviceQueue) onKept(now core.Instant, j *job) {
	until := now.Add(contentionTime)
	if q.contendedUntil != until && !q.demand.IsFarAbove(now, j.demand) {
		q.contendedUntil = until
	}
}

// prefillBacklogLimit returns the queued prefill work above which a job waits in the Dispatcher.
func (j *job) prefillBacklogLimit() time.Duration {
	if j.restrained {
		return restrainedPrefillBacklog
	}
	return maxPrefillBacklog
}

// plainRequestsLimit returns the number of requests that a plain Upstream may have for a job to be sent there.
func (j *job) plainRequestsLimit(up *upstream, slots int) int {
	most := maxPlainRequests(up, slots)
	if j.restrained {
		return min(most, max(slots+1, int(restrainedRequestsPerSlot*float64(slots))))
	}
	return most
}

func (d *Dispatcher) queueOf(service core.ServiceName) *serviceQueue {
	q := d.queues[service]
	if q == nil {
		q = &serviceQueue{service: service}
		d.queues[service] = q
		d.queueOrder = append(d.queueOrder, q)
	}
	return q
}

func newJob(j Job) *job {
	added := &job{Job: j}
	added.entry = fairqueue.Entry[*job]{
		Value: added, Urgency: j.Priority, IsRetry: j.IsRetry, Account: j.Account, ArrivalTime: j.ArrivalTime, Weight: j.Weight, Cost: j.Cost,
	}
	return added
}

// QueueLength returns the number of waiting jobs.
func (d *Dispatcher) QueueLength() int { return d.waiting }

// QueueLengthByService returns the number of waiting jobs of each service that has any.
func (d *Dispatcher) QueueLengthByService() map[core.ServiceName]int {
	waiting := map[core.ServiceName]int{}
	for _, q := range d.queueOrder {
		if q.Len() > 0 {
			waiting[q.service] = q.Len()
		}
	}
	return waiting
}

// QueueByPriority returns the number of waiting jobs of each priority, and that of the jobs that were
// refused since the start because they could not be placed.
func (d *Dispatcher) QueueByPriority() (waiting, refused map[int]int) {
	waiting = map[int]int{}
	for _, q := range d.queueOrder {
		for priority, n := range q.WaitingByUrgency() {
			waiting[priority] += n
		}
	}
	return waiting, maps.Clone(d.refusals)
}

// Backlog describes the account with the most waiting jobs of a service.
type Backlog struct {
	Service core.ServiceName
	Account core.AccountID
	// Waiting is its number of waiting jobs, All that of the service.
	Waiting, All int
	// OtherAccounts is the number of other accounts with waiting jobs.
	OtherAccounts int
}

// LargestBacklog returns the largest backlog of an account in a service in which jobs of other accounts wait. It
// reports false if there is none.
func (d *Dispatcher) LargestBacklog() (Backlog, bool) {
	var largest Backlog
	for _, q := range d.queueOrder {
		if q.Len() <= largest.Waiting {
			continue
		}
		account, waiting, others := q.LargestBacklog()
		if others > 0 && waiting > largest.Waiting {
			largest = Backlog{Service: q.service, Account: account, Waiting: waiting, All: q.Len(), OtherAccounts: others}
		}
	}
	return largest, largest.Waiting > 0
}

// placeQueue places the waiting jobs in order. A job that can't be placed does not block
// those behind it that need another service or less memory.
func (d *Dispatcher) placeQueue(now core.Instant) []Output {
	d.refreshPaces(now)
	var outputs []Output
	for _, q := range d.queueOrder {
		if q.Len() > 0 {
			outputs = d.placeJobsOf(now, q, outputs)
		}
	}
	d.nextQueueRetry = core.Never
	if d.waiting > 0 {
		d.nextQueueRetry = now.Add(d.params.QueueRetryInterval)
	}
	return outputs
}

func (d *Dispatcher) placeJobsOf(now core.Instant, q *serviceQueue, outputs []Output) []Output {
	var known roundFindings
	refuse := func(j *job, refusal *core.Refusal) {
		q.Remove(&j.entry)
		d.waiting--
		d.refusals[j.Priority]++
		delete(d.jobs, j.ID)
		outputs = append(outputs, Refused{ID: j.ID, Refusal: refusal})
	}
	q.StartRound()
	for entry := q.Next(); entry != nil; entry = q.Next() {
		j := entry.Value
		if now >= j.Deadline { // the process may have been paused
			refuse(j, core.NewRefusal(core.CodeTargetUnreachable, "the request reached its time limit before it ran"))
			continue
		}
		q.updateRestraint(now, j)
		if output := d.place(now, j, &known); output != nil {
			q.Place(now, entry)
			d.waiting--
			d.placementRateOf(j.Service).onPlaced(now, j.hasWaited)
			outputs = append(outputs, output)
			continue
		}
		ahead := 0
		if known.needsAhead(j) {
			ahead = q.Ahead(now)
		}
		if refusal := d.refusalIfUnservable(now, j, ahead, &known); refusal != nil {
			refuse(j, refusal)
			continue
		}
		q.onKept(now, j)
		if !j.hasWaited {
			j.hasWaited = true
			d.placementRateOf(j.Service).onQueued(now, ahead == 0 && !q.IsShared())
		}
	}
	return outputs
}

func (d *Dispatcher) place(now core.Instant, j *job, known *roundFindings) Output {
	j.limitWait, j.backoffWait = 0, 0
	if found := known.blockedBy(j); found != nil {
		j.refusedBy, j.backoffWait = nil, found.backoffWait
		return nil
	}
	wasRefused := len(j.refusedBy) > 0
	output := d.placeAtBest(now, j)
	if output != nil {
		return output
	}
	limited := j.limitWait > 0
	if limited && d.anyUnlimited(now, j) {
		j.limitWait = 0
	}
	j.backoffWait = d.BackoffWait(now, j.Service, j.IsModelRequest, j.Regions)
	if !limited && !wasRefused {
		known.addBlocked(j)
	}
	return nil
}

// roundFindings is what one round over the waiting jobs of a service has found. During a round places are
// only taken and loads only grow, so that each finding holds up to its end. It saves a scan of all
// Upstreams for each of up to thousands of waiting jobs.
type roundFindings struct {
	blocked  []finding
	servable []finding
	delays   []finding
}

// finding is a result for jobs of a kind.
type finding struct {
	isModelRequest bool
	isRetry        bool
	restrained     bool
	regions        locality.Set
	memoryTokens   int
	promptTokens   int
	backoffWait    time.Duration
	delay          time.Duration
}

// maxFindings bounds the findings of a kind; further jobs are judged by themselves.
const maxFindings = 16

func newFinding(j *job) finding {
	return finding{isModelRequest: j.IsModelRequest, isRetry: j.IsRetry, restrained: j.restrained, regions: j.Regions, memoryTokens: j.MemoryTokens, promptTokens: j.PromptTokens}
}

func (f *finding) sameUpstreams(j *job) bool {
	return f.isModelRequest == j.IsModelRequest && f.regions.Equal(j.Regions)
}

// blockedBy returns the finding by which no Upstream can take a job: one that needs no more memory and has
// no longer prompt could not be placed, and neither for a limit nor for refusals of its own.
func (r *roundFindings) blockedBy(j *job) *finding {
	for i := range r.blocked {
		f := &r.blocked[i]
		if f.sameUpstreams(j) && (j.restrained || !f.restrained) && j.MemoryTokens >= f.memoryTokens && j.PromptTokens >= f.promptTokens {
			return f
		}
	}
	return nil
}

func (r *roundFindings) addBlocked(j *job) {
	f := newFinding(j)
	f.backoffWait = j.backoffWait
	for i := range r.blocked { // at most as large as that one, else it would be blocked by it
		other := &r.blocked[i]
		if other.sameUpstreams(j) && other.restrained == f.restrained && other.memoryTokens >= f.memoryTokens && other.promptTokens >= f.promptTokens {
			*other = f
			return
		}
	}
	if len(r.blocked) < maxFindings {
		r.blocked = append(r.blocked, f)
	}
}

// needsAhead reports whether the number of jobs ahead decides about a job that could not be placed.
func (r *roundFindings) needsAhead(j *job) bool {
	return !j.hasWaited || j.limitWait > 0 || j.backoffWait > 0
}

// isServable reports whether it was found that Upstreams for a job are registered and usable at some time.
func (r *roundFindings) isServable(j *job) bool {
	for i := range r.servable {
		if f := &r.servable[i]; f.isRetry == j.IsRetry && f.sameUpstreams(j) {
			return true
		}
	}
	return false
}

func (r *roundFindings) addServable(j *job) {
	if len(r.servable) < maxFindings {
		r.servable = append(r.servable, newFinding(j))
	}
}

// delayBound returns an upper bound of the time to the first event of a job: that of a job with the same
// Upstreams and no shorter prompt. It reports false if none is known.
func (r *roundFindings) delayBound(j *job) (time.Duration, bool) {
	for i := range r.delays {
		if f := &r.delays[i]; f.sameUpstreams(j) && f.promptTokens >= j.PromptTokens {
			return f.delay, true
		}
	}
	return 0, false
}

func (r *roundFindings) addDelay(j *job, delay time.Duration) {
	f := newFinding(j)
	f.delay = delay
	for i := range r.delays {
		if other := &r.delays[i]; other.sameUpstreams(j) {
			if other.promptTokens < f.promptTokens {
				*other = f
			}
			return
		}
	}
	if len(r.delays) < maxFindings {
		r.delays = append(r.delays, f)
	}
}
