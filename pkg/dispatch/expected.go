package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
)

// This file weighs the pace of Upstreams: how long work takes there relative to the usual. With
// equal paces, the choices are those by load and distance alone. The load of this Instance and of its
// peers stays in each score, so that an Upstream that looks fast draws requests only until it is
// as loaded as its pace makes up for.

const (
	// paceRefreshInterval is the time after which the paces are computed again. Paces decay over
	// seconds, stated ones over 250 ms.
	paceRefreshInterval = 50 * time.Millisecond
	// stepTimeWeight is the weight of the step time of a decode engine against the share of its
	// memory in use. An engine with twice the usual step time is chosen when the others have more
	// than half of their memory in use.
	stepTimeWeight = 0.5
	// maxPaceOfRefusal bounds the pace by which a request is refused for its latency target or kept
	// waiting. False paces of all Upstreams could refuse everything otherwise.
	maxPaceOfRefusal = 2.0
	// statedLoadTTL is the time in which the load that an Upstream states loses its weight. It
	// changes with each request.
	statedLoadTTL = 400 * time.Millisecond
	// A request that has been at an Upstream for overdueRatio times the expected time shows a pace of at
	// least overdueStep, up to maxOverdue. Single requests vary: half of that is no sign.
	overdueRatio = 2.0
	overdueStep  = 1.5
	maxOverdue   = 8.0
	// minMeasuredPrompt is the length of a prompt below which the fixed cost of a request counts
	// more than its tokens. Shorter ones weigh less in the pace of an engine.
	minMeasuredPrompt = 1000
	// measuredDelay is subtracted from the durations at Upstreams of other DataCentres of the region.
	// Those of other regions are not measured: the way takes longer than the work.
	measuredDelay = 3 * time.Millisecond
	// minMeasured is added to each duration: differences of a millisecond between fast answers are noise,
	// and one Upstream of a fast service would get all requests for as long as it is measured as the fastest.
	minMeasured = 5 * time.Millisecond
)

// expectation is what the Dispatcher knows of the duration of work at an Upstream.
type expectation struct {
	// pace is the duration of work relative to the usual, 0 for the usual.
	pace float64
	// suspected is the pace while a request of this Instance is there, 0 for pace.
	suspected float64
	// overdue is the least pace that the oldest request without an answer shows, 0 for none.
	overdue float64
	// excess is the number of requests that the Upstream had, by its own statement at excessAt, beyond
	// those known of.
	excess   int
	excessAt core.Instant
}

func (e *expectation) paceFactor() float64 {
	if e.pace == 0 {
		return max(e.overdue, 1)
	}
	return max(e.pace, e.overdue)
}

// excessNow returns the requests that the Upstream probably has beyond those known of.
func (e *expectation) excessNow(now core.Instant) float64 {
	if e.excess == 0 {
		return 0
	}
	left := 1 - now.Sub(e.excessAt).Seconds()/statedLoadTTL.Seconds()
	return float64(e.excess) * max(left, 0)
}

// place is where an Upstream is, kept because a choice compares all of them.
type place struct {
	region core.RegionName // empty if unknown
	// distance is that from this Instance.
	distance int
}

func (d *Dispatcher) placeOf(up catalog.Upstream) place {
	return place{region: d.params.Regions[up.DataCentre], distance: d.distance(d.params.DataCentre, up.DataCentre)}
}

// distanceTo returns the distance between two Upstreams as Dispatcher.distance does.
func (u *upstream) distanceTo(other *upstream) int {
	switch {
	case u.DataCentre == other.DataCentre:
		return 0
	case u.region == other.region:
		return 1
	}
	return 2
}

// attemptWork is the work that a job has at an Upstream, for the pace of that.
type attemptWork struct {
	sentAt core.Instant
	// units is the work until the job is done there, work ahead of it included. weight is lower
	// if much was ahead.
	units  float64
	weight float64
}

// refreshPaces computes the paces again if they are old.
func (d *Dispatcher) refreshPaces(now core.Instant) {
	if now < d.pacesRefreshAt {
		return
	}
	d.pacesRefreshAt = now.Add(paceRefreshInterval)
	d.params.Pace.Informed(now, func(id core.UpstreamID, pace, suspected float64) {
		if up := d.upstreams[id]; up != nil {
			up.pace, up.suspected = pace, suspected
		}
	})
	d.refreshOverdue(now)
}

// refreshOverdue finds the plain Upstreams that have not answered for overdueRatio times the expected
// time. An Upstream that has just become slow or silent shows it by this before its first answer does.
// A prefill says less: what the peers have put ahead of it is known late, and a burst would make equal
// engines differ.
func (d *Dispatcher) refreshOverdue(now core.Instant) {
	for _, up := range d.overdue {
		up.overdue = 0
	}
	d.overdue = d.overdue[:0]
	if d.params.Pace == nil {
		return
	}
	for _, j := range d.jobs {
		up := j.plain
		if up == nil {
			continue
		}
		usual := d.params.Pace.Usual(pace.Group{Service: up.Service, Stage: up.Stage})
		elapsed := now.Sub(j.work.sentAt) - transferDelay(up.distance)
		ratio := elapsed.Seconds() / (usual.Seconds() * j.work.units)
		if usual <= 0 || ratio < overdueRatio {
			continue
		}
		if up.overdue == 0 {
			d.overdue = append(d.overdue, up)
		}
		up.overdue = max(up.overdue, min(ratio/overdueRatio*overdueStep, maxOverdue))
	}
}

func (d *Dispatcher) updatePace(now core.Instant, up *upstream) {
	up.pace, up.suspected = d.params.Pace.Pace(now, up.ID), d.params.Pace.Suspected(now, up.ID)
}

// OnLoad takes over the load that an Upstream states, and its pace.
func (d *Dispatcher) OnLoad(now core.Instant, id core.UpstreamID, load pace.Load) {
	up := d.upstreams[id]
	if up == nil {
		return
	}
	d.updatePace(now, up)
	// The answer may count the request that it answers, which can already have been released here.
	up.excess = max(0, load.Running+load.Waiting-up.own.Requests-up.peer.Requests-1)
	up.excessAt = now
}

// decodeScore returns the share of an engine's memory in use, by its step time.
func decodeScore(up *upstream, memoryShare float64) float64 {
	step := up.paceFactor()
	return memoryShare*step + stepTimeWeight*(step-1)
}

// plainScore returns the expected time to the response of a plain Upstream: that of the waiting work
// there, and of the request itself as far as it is not the usual. The unit is the usual duration of a
// request.
func plainScore(now core.Instant, up *upstream, requests, slots int) float64 {
	duration := up.paceFactor()
	if up.own.Requests > 0 {
		duration = max(duration, up.suspected)
	}
	return (float64(requests)+up.excessNow(now))/float64(slots)*duration + duration - 1
}

// maxPlainRequests returns the number of requests that a plain Upstream may have. A slow one has a
// shorter queue, because the same number waits for longer there.
func maxPlainRequests(up *upstream, slots int) int {
	most := maxPlainRequestsPerSlot * slots
	if factor := up.paceFactor(); factor > 1 {
		most = max(slots, int(float64(most)/factor))
	}
	return most
}

// plainDelay returns how much longer than usual a plain request takes at the best Upstream.
func (d *Dispatcher) plainDelay(now core.Instant, j *job) time.Duration {
	lowest := 0.0
	for _, up := range d.byService[j.Service] {
		if factor := up.paceFactor(); up.usable(now) && (lowest == 0 || factor < lowest) {
			lowest = factor
		}
	}
	if lowest <= 1 {
		return 0
	}
	usual := d.params.Pace.Usual(pace.Group{Service: j.Service})
	return time.Duration(float64(usual) * (min(lowest, maxPaceOfRefusal) - 1))
}

// boundedPace is the pace by which requests are refused or wait.
func boundedPace(up *upstream) float64 { return min(up.paceFactor(), maxPaceOfRefusal) }

// observePace reports how long the work of an attempt took.
func (d *Dispatcher) observePace(now core.Instant, up *upstream, work attemptWork, took time.Duration) {
	if work.units <= 0 || up.distance > 1 {
		return
	}
	if up.distance == 1 {
		took = max(took-measuredDelay, took/2)
	}
	d.params.Pace.ObserveDuration(now, up.ID, work.sentAt, (took+minMeasured).Seconds()/work.units, work.weight)
	d.updatePace(now, up)
}

// prefillWork returns the work of a job that is about to be sent to a prefill engine. A prefill that is
// expected to be partly held weighs little: if it is held, the engine is no faster than others.
func prefillWork(now core.Instant, up *upstream, j *job) attemptWork {
	own := float64(j.PromptTokens - j.held.Tokens)
	tokens := float64(up.own.Tokens+up.peer.Tokens) + own
	share := own / max(tokens, 1) // the work ahead is known less well
	certain := 1 - float64(max(j.held.Tokens, j.held.Likely))/float64(max(j.PromptTokens, 1))
	return attemptWork{sentAt: now, units: tokens, weight: share * share * certain * certain * min(1, own/minMeasuredPrompt)}
}

// plainWork returns the work of a job that is about to be sent to a plain Upstream, in requests.
// The duration at an idle Upstream weighs the most.
func plainWork(now core.Instant, up *upstream) attemptWork {
	rounds := max(1, float64(up.own.Requests+up.peer.Requests+1)/float64(max(1, up.Slots)))
	return attemptWork{sentAt: now, units: rounds, weight: 1 / (rounds * rounds)}
}

// ObservePrefill records that the prefill of a job is complete. It precedes OnPrefillDone.
func (d *Dispatcher) ObservePrefill(now core.Instant, id core.RequestID) {
	if j := d.jobs[id]; j != nil && j.prefill != nil {
		took := now.Sub(j.work.sentAt)
		if d.judgeHeld(now, j, took) {
			d.observePace(now, j.prefill, j.work, took)
		}
		j.prefilled = true
	}
}

// ObservePlain records that a plain Upstream has answered a job, or has not answered it in time.
func (d *Dispatcher) ObservePlain(now core.Instant, id core.RequestID) {
	if j := d.jobs[id]; j != nil && j.plain != nil {
		d.observePace(now, j.plain, j.work, now.Sub(j.work.sentAt))
	}
}

// ObserveDecode records the time from the begin of a decode with a complete prefill to its first
// event. A step takes longer the more requests the engine runs.
func (d *Dispatcher) ObserveDecode(now core.Instant, id core.RequestID, sentAt core.Instant) {
	j := d.jobs[id]
	if j == nil || j.decode == nil || j.decode.Stage != catalog.StageDecode {
		return
	}
	slots := max(1, d.engines[j.Service].Slots)
	load := float64(j.decode.own.Requests+j.decode.peer.Requests) / float64(slots)
	d.observePace(now, j.decode, attemptWork{sentAt: sentAt, units: 1 + load, weight: 1}, now.Sub(sentAt))
}
