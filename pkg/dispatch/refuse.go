package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// refusalIfUnservable returns the refusal of a job that could not be placed and gains nothing by
// waiting, nil for others. A retry waits although all Upstreams leave: its caller may have a part of
// the response, and an Upstream that is registered later can continue it.
func (d *Dispatcher) refusalIfUnservable(now core.Instant, j *job, ahead int, known *roundFindings) *core.Refusal {
	if known.isServable(j) {
		return d.refusalIfTooLate(now, j, ahead, known)
	}
	if refusal := d.refusalByRegion(j); refusal != nil {
		return refusal
	}
	if refusal := d.refusalIfEvacuated(j); refusal != nil {
		return refusal
	}
	if !j.IsRetry && d.allLeave(j) {
		refusal := core.NewRefusal(core.CodeNoUpstream, "all Upstreams of the service leave")
		refusal.RetryAfter = d.retryAfter()
		return refusal
	}
	known.addServable(j)
	return d.refusalIfTooLate(now, j, ahead, known)
}

// refusalIfTooLate returns the refusal of a job that can no longer meet its latency
// target, because the latest start has passed or the jobs ahead of it are expected to take
// longer, and nil otherwise. Such a job is refused immediately, since waiting would gain
// its caller nothing.
func (d *Dispatcher) refusalIfTooLate(now core.Instant, j *job, ahead int, known *roundFindings) *core.Refusal {
	start := now
	if !j.hasWaited {
		start = now.Add(d.placementRateOf(j.Service).expectedWait(ahead))
	}
	if j.IsRetry {
		start = now
	}
	start = max(start, now.Add(d.limitDelay(now, j, ahead)))
	if j.backoffWait > 0 {
		start = max(start, now.Add(j.backoffWait+announce.RampUpDelay(ahead)))
	}
	if start < min(d.latestStart(now, j, start, known), j.Deadline) {
		return nil
	}
	code, message := core.CodeTargetUnreachable, "no engine has room in time for the latency target"
	if len(d.byService[j.Service]) == 0 {
		code, message = core.CodeNoUpstream, "no Upstream of the service is registered"
	}
	if j.limitWait > 0 {
		message = "all Upstreams of the service get as many requests as they have announced to take"
	}
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = max(d.retryAfter(), j.limitWait)
	d.coldRefusal(now, j, refusal)
	if j.backoffWait > 0 {
		refusal.Message = "all Upstreams of the service have asked for no requests for a time"
		refusal.RetryAfter = d.spread(j.backoffWait)
	}
	return refusal
}

// latestStart returns the latest instant at which a job can be placed and meet its latency target. A retry
// has none, since its caller may have a part of the response. If the job can meet the target when it
// starts at start, an earlier instant than the latest may be returned.
func (d *Dispatcher) latestStart(now core.Instant, j *job, start core.Instant, known *roundFindings) core.Instant {
	if j.IsRetry {
		return j.Deadline
	}
	if bound, found := known.delayBound(j); found && start < j.LatencyDeadline.Add(-bound) {
		return j.LatencyDeadline.Add(-bound)
	}
	delay := d.timeToFirstEvent(now, j)
	known.addDelay(j, delay)
	return j.LatencyDeadline.Add(-delay)
}

// spread returns a random time between wait and half as long again, so that callers that are
// refused for the same reason do not return at the same time.
func (d *Dispatcher) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(d.params.Rand.Float64()*float64(wait)/2)
}

// RetryAfter returns the time after which a refused caller of a service should return: usual,
// or after the first Upstream does if all of them want no requests.
func (d *Dispatcher) RetryAfter(now core.Instant, service core.ServiceName, isModelRequest bool, regions locality.Set, usual time.Duration) time.Duration {
	if wait := d.BackoffWait(now, service, isModelRequest, regions); wait > 0 {
		return d.spread(wait)
	}
	return usual
}

// retryAfter returns a random time between Params.RetryAfter and twice that, so that
// refused callers don't retry at the same time.
func (d *Dispatcher) retryAfter() time.Duration {
	return d.params.RetryAfter + time.Duration(d.params.Rand.Float64()*float64(d.params.RetryAfter))
}

// timeToFirstEvent returns the expected time from the placement of a job to the first
// event of its response. For plain requests it is the time beyond the usual.
func (d *Dispatcher) timeToFirstEvent(now core.Instant, j *job) time.Duration {
	if !j.IsModelRequest {
		return d.plainDelay(now, j)
	}
	return d.shortestPrefillTime(now, j) + d.firstEventDelay
}
