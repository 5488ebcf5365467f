package placement

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// minSampleSize is the size of a sample before the logarithm of the group.
	minSampleSize = 4
	// refusalSampleFactor scales the sample that is taken before a refusal, so that one
	// unlucky sample refuses nobody.
	refusalSampleFactor = 4
	// slotWaitTolerance is the time by which a slot may come free later than the
	// prefill ends. The KV cache is kept on the prefill engine for longer.
	slotWaitTolerance = 100 * time.Millisecond
	// firstTokenTargetFraction is the part of the first-token target that the expected first
	// token may take. Without it, an overloaded service serves those that waited
	// until the edge of their target and then miss it: 88.7 % instead of 90.2 % of
	// the answers met the targets at full load, 65.9 % instead of 68.6 % at 1.3.
	firstTokenTargetFraction = 0.8
	// maxPrefillQueueDelay is the work that may wait at a prefill engine. What waits
	// there is out of reach of the fair queue, and was cancelled after three seconds
	// of waiting and computed again elsewhere. Load reports are older than 200 ms.
	maxPrefillQueueDelay = 500 * time.Millisecond
)

type decision int

const (
	decisionWait decision = iota
	decisionPlace
	decisionRefuse
)

// choice is a pair of engines with its estimates.
type choice struct {
	decision             decision
	prefill              *engine
	decode               *engine // for a plain job: its replica
	slotDelay            time.Duration
	queueDelay           time.Duration // at the prefill engine
	prefillTime          time.Duration
	transferTime         time.Duration
	firstToken           time.Duration
	score                time.Duration // the first token, and what the choice costs others
	prefillTokens        float64       // to prefill after the expected prefix hit
	expectedCachedTokens int
}

// choose picks the engines of a job, or says that it has to wait or be refused.
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

// decide decides over a pair from its estimates.
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

// chooseDecode returns the sampled decode engine of the region whose slot is free
// first, the least used one when several are free now.
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

// slotDelay estimates the time until a slot of e is free. The ledger holder knows the
// expected ends; others go by the mean use of a slot.
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

// choosePrefill returns the pair of decode with the prefill engine that yields the
// first token earliest. Only engines of the region of decode take part, because
// KV cache doesn't cross regions.
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

// consider replaces best by the pair with the prefill engine e when that yields
// the first token earlier, or as early with less work.
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
		// The transfer takes room on two links instead of one.
		idle := backlog{rate: c.decode.dc.link.rate}
		c.score += idle.delay(now, p.kvBytes(e, j))
	}
	if best.prefill == nil || c.score < best.score || (c.score == best.score && c.prefillTokens < best.prefillTokens) {
		*best = c
	}
}

// transferTime estimates a KV transfer that starts at start, behind the transfers
// that its links still carry then.
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

// choosePlain returns the sampled replica with the fewest outstanding calls.
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
// isn't longer than its sample is looked at completely.
func (p *Placer) sample(list []*engine, factor int) (n, start int) {
	if len(list) == 0 {
		return 0, 0
	}
	n = factor * (minSampleSize + bits.Len(uint(len(list))))
	return min(n, len(list)), p.params.Rand.IntN(len(list))
}

// sampleAt returns the engine i of a sample.
func (p *Placer) sampleAt(list []*engine, n, start, i int) *engine {
	if n == len(list) {
		return list[(start+i)%len(list)]
	}
	return list[p.params.Rand.IntN(len(list))]
}
