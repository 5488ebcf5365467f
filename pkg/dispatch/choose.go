package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

const (
	// Penalties for distance, in units of a fully loaded engine: an engine in another
	// DataCentre is chosen when the local ones are fuller by more than the penalty.
	otherDataCentrePenalty = 0.35
	otherRegionPenalty     = 0.9
	// maxPlainRequestsPerSlot bounds the requests in progress at a plain Upstream, in
	// multiples of its slots. Further requests would wait in its queue for longer than
	// the latency target.
	maxPlainRequestsPerSlot = 3
	// maxPrefillBacklog is the queued prefill work above which requests wait in the
	// Dispatcher, because a hold at a decode engine expires after 2 s.
	maxPrefillBacklog = 600 * time.Millisecond
	// prefillFailurePenalty is added to the prefill time of an engine that fails every
	// request. It is about the cost of a lost prefill.
	prefillFailurePenalty = 500 * time.Millisecond
	// Transfer delays between DataCentres, added to the prefill time.
	otherDataCentreDelay = 4 * time.Millisecond
	otherRegionDelay     = 70 * time.Millisecond
	// minUnreachableBackoff is the time for which an unreachable Upstream is not used. It
	// doubles with each consecutive failure up to maxUnreachableBackoff.
	minUnreachableBackoff = 300 * time.Millisecond
	maxUnreachableBackoff = 5 * time.Second
	// failureSmoothingFactor is the weight of a new outcome in the failure rate.
	failureSmoothingFactor = 0.1
	// failurePenalty is the penalty of an Upstream that fails every request, in the
	// units of the penalties for distance.
	failurePenalty = 4.0
)

// distance returns 0 within a DataCentre, 1 within a region and 2 between regions.
func (d *Dispatcher) distance(a, b core.DataCentreName) int {
	switch {
	case a == b:
		return 0
	case d.params.Regions[a] == d.params.Regions[b]:
		return 1
	}
	return 2
}

func (d *Dispatcher) distancePenalty(up *upstream) float64 {
	return [...]float64{0, otherDataCentrePenalty, otherRegionPenalty}[up.distance]
}

func (u *upstream) leaves() bool { return u.Leaving || u.announced.Leaving }

func (u *upstream) usable(now core.Instant) bool {
	return !u.leaves() && !u.evacuated && now >= u.unreachableUntil && now >= u.announced.BackoffUntil
}

// runs reports whether the Upstream runs the requests of a service, unlike a prefill engine.
func (u *upstream) runs(isModelRequest bool) bool {
	return !isModelRequest || u.Stage == catalog.StageDecode
}

// BackoffWait returns the time until the first Upstream of a service in the regions returns if all
// that run its requests and do not leave want none for a time, and 0 otherwise.
func (d *Dispatcher) BackoffWait(now core.Instant, service core.ServiceName, isModelRequest bool, regions locality.Set) time.Duration {
	first := core.Never
	for _, up := range d.byService[service] {
		if !up.runs(isModelRequest) || up.leaves() || up.evacuated || !regions.Allows(up.region) {
			continue
		}
		if now >= up.announced.BackoffUntil {
			return 0
		}
		first = min(first, up.announced.BackoffUntil)
	}
	if first == core.Never {
		return 0
	}
	return first.Sub(now)
}

// allLeave reports whether Upstreams are registered that run the job, and all of them leave.
func (d *Dispatcher) allLeave(j *job) bool {
	registered := false
	for _, up := range d.byService[j.Service] {
		if !up.runs(j.IsModelRequest) {
			continue
		}
		if !up.leaves() {
			return false
		}
		registered = true
	}
	return registered
}

// IsReplaceable reports whether an Upstream leaves while another one that runs the requests of
// its service can be used in the regions.
func (d *Dispatcher) IsReplaceable(now core.Instant, id core.UpstreamID, regions locality.Set) bool {
	up := d.upstreams[id]
	return up != nil && up.leaves() && slices.ContainsFunc(d.byService[up.Service], func(other *upstream) bool {
		return other.Stage == up.Stage && other.usable(now) && regions.Allows(other.region)
	})
}

// chooseDecode returns the decode engine with the lowest load and penalties, or nil
// when none has capacity. All engines of the fleet form one pool, so that a burst can
// use engines of every DataCentre.
func (d *Dispatcher) chooseDecode(now core.Instant, j *job) *upstream {
	if d.shortestPrefillTime(now, j) > j.prefillBacklogLimit() {
		return nil
	}
	size := d.engines[j.Service]
	best := d.best(now, j, requestsOfHold, func(up *upstream) (float64, bool) {
		tokens := up.own.Tokens + up.peer.Tokens + j.MemoryTokens
		requests := up.own.Requests + up.peer.Requests + 1
		fits := tokens <= size.MemoryTokens && requests <= size.Slots && now >= up.fullUntil
		if up.Stage != catalog.StageDecode || !up.usable(now) || !fits || slices.Contains(j.refusedBy, up.ID) {
			return 0, false
		}
		load := float64(tokens) / float64(max(1, size.MemoryTokens))
		return decodeScore(up, load) + d.distancePenalty(up) + failurePenalty*up.failureRate, true
	})
	return best
}

// choosePrefill returns the prefill engine that is expected to finish first, or nil
// when none is usable, and what it is expected to hold of the prompt.
func (d *Dispatcher) choosePrefill(now core.Instant, j *job) (*upstream, promptcache.Expectation) {
	d.expectHeld(now, j)
	best := d.best(now, j, requestsOfCall, func(up *upstream) (float64, bool) {
		if up.Stage != catalog.StagePrefill || !up.usable(now) {
			return 0, false
		}
		return float64(d.prefillTimeAt(up, j, up.paceFactor())) + float64(prefillFailurePenalty)*up.failureRate, true
	})
	return best, d.endExpectation(best)
}

// prefillTimeAt estimates the time until the engine has finished the prefill of the job
// and the decode engine can fetch its KV cache, if the engine takes pace times the usual time. Only
// choosePrefill counts what the engine is expected to hold.
func (d *Dispatcher) prefillTimeAt(up *upstream, j *job, pace float64) time.Duration {
	tokens := float64(up.own.Tokens+up.peer.Tokens+j.PromptTokens-up.expected.Tokens) * pace
	duration := time.Duration(tokens / d.params.PrefillTokensPerSecond * float64(time.Second))
	duration += transferDelay(up.distance)
	if j.decode != nil {
		duration += transferDelay(up.distanceTo(j.decode))
	}
	return duration
}

func transferDelay(distance int) time.Duration {
	return [...]time.Duration{0, otherDataCentreDelay, otherRegionDelay}[distance]
}

// shortestPrefillTime returns the shortest prefill time of the job over all usable
// engines, or 0 when none is usable.
func (d *Dispatcher) shortestPrefillTime(now core.Instant, j *job) time.Duration {
	best := time.Duration(-1)
	for _, up := range d.byService[j.Service] {
		if up.Stage != catalog.StagePrefill || !up.usable(now) || !j.Regions.Allows(up.region) {
			continue
		}
		if duration := d.prefillTimeAt(up, j, boundedPace(up)); best < 0 || duration < best {
			best = duration
		}
	}
	return max(best, 0)
}

// choosePlain returns the Upstream of a plain service with the earliest expected completion and the
// lowest penalties, or nil when none has capacity. The failure rate is among the penalties, so
// that an Upstream that accepts requests and fails them loses its traffic.
func (d *Dispatcher) choosePlain(now core.Instant, j *job) *upstream {
	return d.best(now, j, requestsOfCall, func(up *upstream) (float64, bool) {
		requests := up.own.Requests + up.peer.Requests + 1
		slots := max(1, up.Slots)
		if !up.usable(now) || requests > j.plainRequestsLimit(up, slots) {
			return 0, false
		}
		return plainScore(now, up, requests, slots) + d.distancePenalty(up) + failurePenalty*up.failureRate, true
	})
}

// best returns the Upstream of the job's service with the lowest score that may be sent a
// number of requests now. The score function reports false for an Upstream that can't be
// used.
func (d *Dispatcher) best(now core.Instant, j *job, requests int, score func(*upstream) (float64, bool)) *upstream {
	var atLimit []*upstream
	score = d.whileCold(now, j, score)
	for {
		up := d.lowest(j, atLimit, score)
		if up == nil {
			return nil
		}
		allowed, wait := d.params.Announcements.Allow(now, up.ID, requests)
		if allowed {
			return up.takeColdPlace(now, j)
		}
		atLimit = append(atLimit, up)
		if j.limitWait == 0 || wait < j.limitWait {
			j.limitWait = max(wait, time.Millisecond)
		}
	}
}

// anyUnlimited reports whether a usable Upstream of the job announces no rate and is warm. A place
// there may become free at any time.
func (d *Dispatcher) anyUnlimited(now core.Instant, j *job) bool {
	return slices.ContainsFunc(d.byService[j.Service], func(up *upstream) bool {
		return up.runs(j.IsModelRequest) && up.usable(now) && j.Regions.Allows(up.region) &&
			!d.params.Announcements.Limited(now, up.ID) && !up.cold.IsCold(now)
	})
}

// lowest returns the Upstream of the job's service with the lowest score, without those
// that are excluded; ties are broken at random. Upstreams in AvoidUpstreams are used only
// when no other is usable.
func (d *Dispatcher) lowest(j *job, excluded []*upstream, score func(*upstream) (float64, bool)) *upstream {
	var avoided *upstream
	lowest := 0.0
	ties := d.ties[:0]
	for _, up := range d.byService[j.Service] {
		if slices.Contains(excluded, up) || !j.Regions.Allows(up.region) {
			continue
		}
		value, ok := score(up)
		if !ok {
			continue
		}
		if slices.Contains(j.AvoidUpstreams, up.ID) {
			avoided = up
			continue
		}
		switch {
		case len(ties) == 0 || value < lowest:
			ties, lowest = append(ties[:0], up), value
		case value == lowest:
			ties = append(ties, up)
		}
	}
	d.ties = ties
	switch len(ties) {
	case 0:
		return avoided
	case 1:
		return ties[0]
	}
	return ties[d.params.Rand.IntN(len(ties))]
}

// MarkUnreachable records that an Upstream could not be reached or stopped responding.
// It gets no requests for a time that doubles with each consecutive failure.
func (d *Dispatcher) MarkUnreachable(now core.Instant, id core.UpstreamID) {
	up := d.upstreams[id]
	if up == nil {
		return
	}
	backoff := min(minUnreachableBackoff<<min(up.consecutiveFailures, 10), maxUnreachableBackoff)
	up.consecutiveFailures++
	up.unreachableUntil = now.Add(backoff)
}

// RecordOutcome records whether an Upstream served a request successfully.
func (d *Dispatcher) RecordOutcome(id core.UpstreamID, ok bool) {
	up := d.upstreams[id]
	if up == nil {
		return
	}
	failed := 1.0
	if ok {
		failed = 0
		up.consecutiveFailures = 0
	}
	up.failureRate += failureSmoothingFactor * (failed - up.failureRate)
}

// Loads returns the load that this Instance has placed on each Upstream, for its peers.
// Upstreams without load are left out.
func (d *Dispatcher) Loads() map[core.UpstreamID]Load {
	loads := map[core.UpstreamID]Load{}
	for id, up := range d.upstreams {
		if up.own != (Load{}) {
			loads[id] = up.own
		}
	}
	return loads
}

// SetPeerLoads replaces the loads that a peer has reported. A nil map removes the peer.
func (d *Dispatcher) SetPeerLoads(peer core.InstanceID, loads map[core.UpstreamID]Load) {
	before := d.peers[peer]
	for id, load := range before {
		if up := d.upstreams[id]; up != nil {
			up.peer.Requests -= load.Requests
			up.peer.Tokens -= load.Tokens
		}
	}
	if loads == nil {
		delete(d.peers, peer)
		return
	}
	d.peers[peer] = loads
	for id, load := range loads {
		if up := d.upstreams[id]; up != nil {
			up.peer.Requests += load.Requests
			up.peer.Tokens += load.Tokens
		}
	}
}

func (d *Dispatcher) sumPeerLoads() {
	for _, up := range d.upstreams {
		up.peer = Load{}
	}
	for _, loads := range d.peers {
		for id, load := range loads {
			if up := d.upstreams[id]; up != nil {
				up.peer.Requests += load.Requests
				up.peer.Tokens += load.Tokens
			}
		}
	}
}
