package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// Distances in units of a full engine: an engine in another DataCentre is
	// used when the near ones are this much fuller.
	otherDataCentrePenalty = 0.35
	otherRegionPenalty     = 0.9
	// maxPlainRequestsPerSlot bounds the requests in progress at a plain Upstream, in
	// multiples of its slots. More would wait in its queue for longer than the
	// latency target.
	maxPlainRequestsPerSlot = 3
	// maxPrefillBacklog is the time of queued prefill work above which requests
	// wait here: a hold lasts for 2 s.
	maxPrefillBacklog = 600 * time.Millisecond
	// prefillFailurePenalty is the handicap of a prefill engine that fails every request: a
	// lost prefill costs about as much.
	prefillFailurePenalty = 500 * time.Millisecond
	// Latency between DataCentres, in units of prefill time.
	otherDataCentreDelay = 4 * time.Millisecond
	otherRegionDelay     = 70 * time.Millisecond
	// minUnreachableBackoff is the first pause after an Upstream could not be reached, doubled
	// with each further failure up to maxDownFor.
	minUnreachableBackoff = 300 * time.Millisecond
	maxUnreachableBackoff = 5 * time.Second
	// failureSmoothingFactor is the weight of a new outcome in the share of failures.
	failureSmoothingFactor = 0.1
	// failurePenalty is the distance of an Upstream that fails every request.
	failurePenalty = 4.0
)

// distance returns 0 for the same DataCentre, 1 for the same region, otherwise 2.
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
	return [...]float64{0, otherDataCentrePenalty, otherRegionPenalty}[d.distance(d.params.DataCentre, up.DataCentre)]
}

func (u *upstream) usable(now core.Instant) bool { return !u.Leaving && now >= u.unreachableUntil }

// chooseDecode returns the decode engine with the most room for its distance, nil
// when none has room. It answers bursts: all engines of the fleet are one pool.
func (d *Dispatcher) chooseDecode(now core.Instant, j *job) *upstream {
	if d.shortestPrefillTime(now, j) > maxPrefillBacklog {
		return nil
	}
	size := d.engines[j.Service]
	best := d.best(j, func(up *upstream) (float64, bool) {
		tokens := up.own.Tokens + up.peer.Tokens + j.MemoryTokens
		requests := up.own.Requests + up.peer.Requests + 1
		fits := tokens <= size.MemoryTokens && requests <= size.Slots && now >= up.fullUntil
		if up.Stage != catalog.StageDecode || !up.usable(now) || !fits || slices.Contains(j.refusedBy, up.ID) {
			return 0, false
		}
		load := float64(tokens) / float64(max(1, size.MemoryTokens))
		return load + d.distancePenalty(up) + failurePenalty*up.failureRate, true
	})
	return best
}

// choosePrefill returns the prefill engine that is expected to end first.
func (d *Dispatcher) choosePrefill(now core.Instant, j *job) *upstream {
	return d.best(j, func(up *upstream) (float64, bool) {
		if up.Stage != catalog.StagePrefill || !up.usable(now) {
			return 0, false
		}
		return d.prefillTimeAt(up, j).Seconds() + prefillFailurePenalty.Seconds()*up.failureRate, true
	})
}

// prefillTimeAt is the time until a prefill ends at an engine and its KV cache can be
// fetched.
func (d *Dispatcher) prefillTimeAt(up *upstream, j *job) time.Duration {
	tokens := float64(up.own.Tokens + up.peer.Tokens + j.PromptTokens)
	took := time.Duration(tokens / d.params.PrefillTokensPerSecond * float64(time.Second))
	took += transferDelay(d.distance(d.params.DataCentre, up.DataCentre))
	if j.decode != nil {
		took += transferDelay(d.distance(j.decode.DataCentre, up.DataCentre))
	}
	return took
}

func transferDelay(distance int) time.Duration {
	return [...]time.Duration{0, otherDataCentreDelay, otherRegionDelay}[distance]
}

// shortestPrefillTime is the shortest time until a prefill of the job ends.
func (d *Dispatcher) shortestPrefillTime(now core.Instant, j *job) time.Duration {
	best := time.Duration(-1)
	for _, up := range d.byService[j.Service] {
		if up.Stage != catalog.StagePrefill || !up.usable(now) {
			continue
		}
		if took := d.prefillTimeAt(up, j); best < 0 || took < best {
			best = took
		}
	}
	return max(best, 0)
}

// choosePlain returns the Upstream of a plain service with the least load for its
// distance. It answers Upstreams that fail silently: those that failed lately
// count as far away.
func (d *Dispatcher) choosePlain(now core.Instant, j *job) *upstream {
	return d.best(j, func(up *upstream) (float64, bool) {
		requests := up.own.Requests + up.peer.Requests + 1
		slots := max(1, up.Slots)
		if !up.usable(now) || requests > maxPlainRequestsPerSlot*slots {
			return 0, false
		}
		return float64(requests)/float64(slots) + d.distancePenalty(up) + failurePenalty*up.failureRate, true
	})
}

// best returns the Upstream with the lowest score, ties broken at random. Those
// that the job avoids are used only when no other is usable.
func (d *Dispatcher) best(j *job, score func(*upstream) (float64, bool)) *upstream {
	var best, avoided *upstream
	lowest := 0.0
	ties := 0
	for _, up := range d.byService[j.Service] {
		value, ok := score(up)
		if !ok {
			continue
		}
		if slices.Contains(j.AvoidUpstreams, up.ID) {
			avoided = up
			continue
		}
		switch {
		case best == nil || value < lowest:
			best, lowest, ties = up, value, 1
		case value == lowest:
			ties++
			if d.params.Rand.IntN(ties) == 0 {
				best = up
			}
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// MarkUnreachable notes that an Upstream could not be reached, or fell silent.
func (d *Dispatcher) MarkUnreachable(now core.Instant, id core.UpstreamID) {
	up := d.upstreams[id]
	if up == nil {
		return
	}
	pause := min(minUnreachableBackoff<<min(up.consecutiveFailures, 10), maxUnreachableBackoff)
	up.consecutiveFailures++
	up.unreachableUntil = now.Add(pause)
}

// RecordOutcome notes whether an Upstream served a request.
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

// Loads returns what this Instance has placed, for its peers.
func (d *Dispatcher) Loads() map[core.UpstreamID]Load {
	loads := map[core.UpstreamID]Load{}
	for id, up := range d.upstreams {
		if up.own != (Load{}) {
			loads[id] = up.own
		}
	}
	return loads
}

// SetPeerLoads takes in what a peer has placed. nil forgets the peer.
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
