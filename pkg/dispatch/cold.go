package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// OnCold takes over that an Upstream has stated in an answer that it is cold.
func (d *Dispatcher) OnCold(id core.UpstreamID) {
	if up := d.upstreams[id]; up != nil {
		up.cold = d.coldState(id)
	}
}

// coldState returns what is known of a cold Upstream, nil for one that was never cold.
func (d *Dispatcher) coldState(id core.UpstreamID) *warmup.Upstream {
	if d.params.Warmup == nil {
		return nil
	}
	return d.params.Warmup.State(id)
}

// whileCold returns a score function that leaves out the cold Upstreams to which this Instance may not
// send now, and sets the time after which it may.
func (d *Dispatcher) whileCold(now core.Instant, j *job, score func(*upstream) (float64, bool)) func(*upstream) (float64, bool) {
	return func(up *upstream) (float64, bool) {
		value, ok := score(up)
		if !ok || up.cold == nil {
			return value, ok
		}
		wait := up.cold.Wait(now)
		if wait == 0 {
			return value, true
		}
		if !j.hasWaited {
			up.cold.Defer()
		}
		if j.limitWait == 0 || wait < j.limitWait {
			j.limitWait = max(wait, time.Millisecond)
		}
		return 0, false
	}
}

// coldOnly reports whether all Upstreams that run the job and can be used are cold.
func (d *Dispatcher) coldOnly(now core.Instant, j *job) bool {
	cold := false
	for _, up := range d.byService[j.Service] {
		if !up.runs(j.IsModelRequest) || !up.usable(now) {
			continue
		}
		if !up.cold.IsCold(now) {
			return false
		}
		cold = true
	}
	return cold
}

// limitDelay returns the time until a job is sent that waits because of the limits of its Upstreams,
// with a number of jobs ahead of it. If all are cold, these take the places that are free first.
func (d *Dispatcher) limitDelay(now core.Instant, j *job, ahead int) time.Duration {
	if j.limitWait == 0 || !d.coldOnly(now, j) {
		return time.Duration(ahead+1) * j.limitWait
	}
	var waits []time.Duration
	for _, up := range d.byService[j.Service] {
		if up.runs(j.IsModelRequest) && up.usable(now) {
			waits = up.cold.AppendWaits(now, waits)
		}
	}
	slices.Sort(waits)
	rounds := time.Duration(ahead / len(waits))
	return waits[ahead%len(waits)] + rounds*warmup.ReuseTime
}

// coldRefusal changes the refusal of a job that waited in vain for a cold Upstream. Another Instance may
// be a sender of it, so the caller need not wait until the Upstream is warm.
func (d *Dispatcher) coldRefusal(now core.Instant, j *job, refusal *core.Refusal) {
	if j.limitWait > 0 && d.coldOnly(now, j) {
		refusal.Message = "all Upstreams of the service are cold and get as many requests as they can take"
		refusal.RetryAfter = d.retryAfter()
	}
}

// returnColdPlace ends the use of the place of a refused hold.
func (j *job) returnColdPlace(now core.Instant) { j.decode.cold.Return(now, j.ID) }

// takeColdPlace counts the request of a job that is sent now. A plain call or a prefill is one request;
// the place of a hold covers the run too.
func (u *upstream) takeColdPlace(now core.Instant, j *job) *upstream {
	u.cold.Take(now, j.ID)
	return u
}
