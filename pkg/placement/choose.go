package placement

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// minSampleSize is the constant part of the sample size; the logarithm of the
	// group's size is added to it.
	minSampleSize = 4
	// refusalSampleFactor enlarges the sample that is examined before a job is refused,
	// so that no job is refused because of one unlucky sample.
	refusalSampleFactor = 4
	// slotWaitTolerance is the time for which a finished prefill may wait for its
	// decode slot. The prefill engine keeps the KV cache for longer.
	slotWaitTolerance = 100 * time.Millisecond
	// firstTokenTargetFraction is the fraction of the first-token target that the
	// expected time to the first token may take. With the full target, an overloaded
	// service runs requests that have waited almost to the limit and then miss it.
	firstTokenTargetFraction = 0.8
	// maxPrefillQueueDelay bounds the queue of a prefill engine. The fair queue can't
	// reorder requests that wait there, and a prefill that does not end within the
	// prefill timeout of 3 s is cancelled and recomputed on another engine. The load
	// reports from which the queue is estimated are more than 200 ms old.
	maxPrefillQueueDelay = 500 * time.Millisecond
)

type decision int

const (
	decisionWait decision = iota
	decisionPlace
	decisionRefuse
)

// choice is the decision on a job, with a pair of engines and its estimates.
type choice struct {
	decision             decision
	prefill              *engine
	decode               *engine // for a plain job: its replica
	slotDelay            time.Duration
	queueDelay           time.Duration // at the prefill engine
	prefillTime          time.Duration
	transferTime         time.Duration
	firstToken           time.Duration
	score                time.Duration // firstToken plus the time on a second link; lower is better
	prefillTokens        float64       // without the expected prefix hit
	expectedCachedTokens int
}

// choose picks the engines of a job, or decides that it has to wait or is refused.
func (p *Placer) choose(now core.Instant, j *job) choice {
	if j.pool.service.Kind == KindPlain {
		return p.choosePlain(now, j)
	}
	if p.params.Strategy != StrategyScore {
		return p.chooseBaseline(now, j)
	}
	c := p.choosePair(now, j, 1)
	if c.decision == decisionRefuse {
		c = p.choosePair(now, j, refusalSampleFactor)
	}
	return c
}

func (p *Placer) choosePair(now core.Instant, j *job, factor int) choice {
	best := choice{decision: decisionWait}
	for _, region := range j.pool.decode.regions {
		decode, slotDelay := p.chooseDecode(now, j, region, factor)
		if decode == nil {
			continue
		}
		c := p.choosePrefill(now, j, decode, slotDelay, factor)
		if c.prefill == nil {
			continue
		}
		c.decision = c.decide(now, j)
		if c.decision == decisionPlace {
			return c
		}
		if best.prefill == nil || c.firstToken < best.firstToken {
			best = c
		}
	}
	return best
}

// decide derives the decision from the estimates of the pair.
func (c *choice) decide(now core.Instant, j *job) decision {
	if j.refusesEarly() && now.Sub(j.arrivedAt)+c.firstToken > time.Duration(firstTokenTargetFraction*float64(j.pool.service.Targets.TimeToFirstToken)) && !c.lacksRecentEstimates(now, j) {
		return decisionRefuse
	}
	if c.queueDelay > maxPrefillQueueDelay {
		return decisionWait
	}
	if !j.pool.skipReservations && c.slotDelay > c.queueDelay+c.prefillTime+slotWaitTolerance {
		return decisionWait
	}
	return decisionPlace
}

// chooseDecode returns the sampled decode engine of the region that is the first to
// have a free slot, and the time until then. Ties go to the lower utilisation.
func (p *Placer) chooseDecode(now core.Instant, j *job, region core.RegionName, factor int) (*engine, time.Duration) {
	var best *engine
	var bestDelay time.Duration
	var bestUtilisation float64
	for pass := range 2 {
		list := j.pool.decode.byRegion[region]
		n, start := p.sample(list, factor)
		for i := range n {
			e := p.sampleAt(list, n, start, i)
			if !e.usable(now) || slices.Contains(j.deniedEngines, e) || p.holderUnreachable(now, e) {
				continue
			}
			if pass == 0 && slices.Contains(j.AvoidUpstreams, e.ID) {
				continue
			}
			delay := p.slotDelay(now, e)
			utilisation := float64(e.usedSlots()) / float64(max(1, e.slots()))
			if best == nil || delay < bestDelay || (delay == bestDelay && utilisation < bestUtilisation) {
				best, bestDelay, bestUtilisation = e, delay, utilisation
			}
		}
		if best != nil || len(j.AvoidUpstreams) == 0 {
			break
		}
	}
	return best, bestDelay
}

// slotDelay estimates the time until a slot of e is free. The ledger holder uses the
// expected ends of the slots; other Instances use the mean slot time.
func (p *Placer) slotDelay(now core.Instant, e *engine) time.Duration {
	slots := e.slots()
	if e.ledger == nil || slots == 0 || p.holderOf(e) != p.self.ID {
		return e.slotDelay(now)
	}
	e.ledger.expire(now)
	used := e.ledger.usedSlots(e.report)
	if used < slots {
		return 0
	}
	if wait, known := e.ledger.nextFreeSlot(now, slots, e.service.meanSlotTime); known {
		return wait
	}
	return p.params.MaxSlotWait
}

// choosePrefill pairs decode with the prefill engine that yields the first token
// earliest. Only engines in the region of decode are considered, because KV cache
// doesn't cross regions. The prefill engine of the result is nil if there is none.
func (p *Placer) choosePrefill(now core.Instant, j *job, decode *engine, slotDelay time.Duration, factor int) choice {
	best := choice{decode: decode, slotDelay: slotDelay}
	for pass := range 2 {
		allowed := func(e *engine) bool {
			return e.usable(now) && (pass == 1 || !slices.Contains(j.AvoidUpstreams, e.ID))
		}
		near := j.pool.prefill.byDataCentre[decode.dc.Name]
		p.considerSample(now, j, &best, near, factor, allowed)
		region := j.pool.prefill.byRegion[decode.dc.Region]
		if len(region) > len(near) {
			p.considerSample(now, j, &best, region, factor, allowed)
		}
		var buffer [maxHintedEngines]*engine
		holders := p.prefixIndex.enginesHolding(now, buffer[:0], j.PrefixHashes, func(e *engine) bool {
			return e.Role == RolePrefill && e.service == j.pool.service && e.serves(j.Model) && e.dc.Region == decode.dc.Region && allowed(e)
		})
		if p.params.NoPrefixHints {
			holders = nil
		}
		for _, e := range holders {
			p.consider(now, j, &best, e)
		}
		if best.prefill != nil || len(j.AvoidUpstreams) == 0 {
			break
		}
	}
	return best
}

func (p *Placer) considerSample(now core.Instant, j *job, best *choice, list []*engine, factor int, allowed func(*engine) bool) {
	n, start := p.sample(list, factor)
	for i := range n {
		if e := p.sampleAt(list, n, start, i); allowed(e) {
			p.consider(now, j, best, e)
		}
	}
}

// consider replaces best by the pair with the prefill engine e if that has a lower
// score, or the same score with fewer tokens to prefill.
func (p *Placer) consider(now core.Instant, j *job, best *choice, e *engine) {
	c := choice{decode: best.decode, slotDelay: best.slotDelay, prefill: e}
	if !p.params.NoPrefixHints {
		c.expectedCachedTokens = e.expectedCachedTokens(j.PrefixHashes, j.PromptTokens)
	}
	c.prefillTokens = float64(j.PromptTokens) - float64(c.expectedCachedTokens)*e.hints.hitRatio
	c.queueDelay = e.prefillBacklog.delay(now, 0)
	c.prefillTime = seconds(c.prefillTokens / e.prefillBacklog.rate)
	ready := max(c.queueDelay+c.prefillTime, c.slotDelay)
	c.transferTime = p.transferTime(now.Add(ready), e.dc, c.decode.dc, p.kvBytes(e, j))
	c.firstToken = ready + c.transferTime
	c.score = c.firstToken
	if e.dc != c.decode.dc {
		// The transfer loads two links instead of one.
		idle := backlog{rate: c.decode.dc.link.rate}
		c.score += idle.delay(now, p.kvBytes(e, j))
	}
	if best.prefill == nil || c.score < best.score || (c.score == best.score && c.prefillTokens < best.prefillTokens) {
		*best = c
	}
}

// transferTime estimates the duration of a KV transfer that begins at start, after
// the transfers that are still queued on its links then.
func (p *Placer) transferTime(start core.Instant, from, to *dataCentreState, bytes float64) time.Duration {
	duration := from.link.delay(start, bytes)
	if to != from {
		duration = max(duration, to.link.delay(start, bytes))
	}
	return duration
}

func (p *Placer) addTransfer(now core.Instant, from, to *dataCentreState, bytes float64) {
	from.link.add(now, bytes)
	if to != from {
		to.link.add(now, bytes)
	}
}

// choosePlain returns the sampled replica with the fewest outstanding requests.
func (p *Placer) choosePlain(now core.Instant, j *job) choice {
	for _, region := range j.pool.decode.regions {
		list := j.pool.decode.byRegion[region]
		for pass := range 2 {
			var best *engine
			n, start := p.sample(list, 1)
			for i := range n {
				e := p.sampleAt(list, n, start, i)
				full := e.slots() > 0 && e.usedSlots() >= e.slots()
				if !e.usable(now) || full || (pass == 0 && slices.Contains(j.AvoidUpstreams, e.ID)) {
					continue
				}
				if best == nil || e.usedSlots() < best.usedSlots() {
					best = e
				}
			}
			if best != nil {
				return choice{decision: decisionPlace, decode: best}
			}
			if len(j.AvoidUpstreams) == 0 {
				break
			}
		}
	}
	return choice{decision: decisionWait}
}

// sample returns the size of a sample of the list and a random offset. A list that
// isn't longer than its sample is examined completely.
func (p *Placer) sample(list []*engine, factor int) (n, start int) {
	if len(list) == 0 {
		return 0, 0
	}
	n = factor * (minSampleSize + bits.Len(uint(len(list))))
	return min(n, len(list)), p.params.Rand.IntN(len(list))
}

// sampleAt returns engine i of a sample of n engines: the one at start+i if the sample
// is the complete list, else a random one, so that an engine may occur twice.
func (p *Placer) sampleAt(list []*engine, n, start, i int) *engine {
	if n == len(list) {
		return list[(start+i)%len(list)]
	}
	return list[p.params.Rand.IntN(len(list))]
}
