package placement

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// sampleBase is the size of a sample before the logarithm of the group.
	sampleBase = 4
	// widerLook scales the sample that is taken before a refusal, so that one
	// unlucky sample refuses nobody.
	widerLook = 4
	// reserveSlack is the time by which a slot may come free later than the
	// prefill ends. The KV cache is kept on the prefill engine for longer.
	reserveSlack = 100 * time.Millisecond
	// plannedShare is the part of the first-token target that the expected first
	// token may take. Without it, an overloaded service serves those that waited
	// until the edge of their target and then miss it: 88.7 % instead of 90.2 % of
	// the answers met the targets at full load, 65.9 % instead of 68.6 % at 1.3.
	plannedShare = 0.8
	// maxPrefillQueue is the work that may wait at a prefill engine. What waits
	// there is out of reach of the fair queue, and was cancelled after three seconds
	// of waiting and computed again elsewhere. Load reports are older than 200 ms.
	maxPrefillQueue = 500 * time.Millisecond
)

type verdict int

const (
	verdictWait verdict = iota
	verdictPlace
	verdictRefuse
)

// choice is a pair of engines with its estimates.
type choice struct {
	verdict     verdict
	prefill     *engine
	decode      *engine // for a plain job: its replica
	freeIn      time.Duration
	queue       time.Duration // at the prefill engine
	prefillTime time.Duration
	transfer    time.Duration
	firstToken  time.Duration
	score       time.Duration // the first token, and what the choice costs others
	tokens      float64       // to prefill after the expected prefix hit
	hinted      int
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
	if c.verdict == verdictRefuse {
		c = p.choosePair(now, j, widerLook)
	}
	return c
}

func (p *Placer) choosePair(now core.Instant, j *job, factor int) choice {
	best := choice{verdict: verdictWait}
	for _, region := range j.pool.decode.regions {
		decode, freeIn := p.chooseDecode(now, j, region, factor)
		if decode == nil {
			continue
		}
		c := p.choosePrefill(now, j, decode, freeIn, factor)
		if c.prefill == nil {
			continue
		}
		c.verdict = c.judge(now, j)
		if c.verdict == verdictPlace {
			return c
		}
		if best.prefill == nil || c.firstToken < best.firstToken {
			best = c
		}
	}
	return best
}

// judge decides over a pair from its estimates.
func (c *choice) judge(now core.Instant, j *job) verdict {
	if j.refusesEarly() && now.Sub(j.arrived)+c.firstToken > time.Duration(plannedShare*float64(j.pool.service.Targets.TimeToFirstToken)) && !c.unmeasured(now, j) {
		return verdictRefuse
	}
	if c.queue > maxPrefillQueue {
		return verdictWait
	}
	if !j.pool.unreserved && c.freeIn > c.queue+c.prefillTime+reserveSlack {
		return verdictWait
	}
	return verdictPlace
}

// chooseDecode returns the sampled decode engine of the region whose slot is free
// first, the least used one when several are free now.
func (p *Placer) chooseDecode(now core.Instant, j *job, region core.RegionName, factor int) (*engine, time.Duration) {
	var best *engine
	var bestFree time.Duration
	var bestUse float64
	for pass := range 2 {
		list := j.pool.decode.byRegion[region]
		n, start := p.sample(list, factor)
		for i := range n {
			e := p.pick(list, n, start, i)
			if !e.usable(now) || slices.Contains(j.denied, e) || p.holderUnreachable(now, e) {
				continue
			}
			if pass == 0 && slices.Contains(j.AvoidUpstreams, e.ID) {
				continue
			}
			free := p.freeIn(now, e)
			use := float64(e.used()) / float64(max(1, e.slots()))
			if best == nil || free < bestFree || (free == bestFree && use < bestUse) {
				best, bestFree, bestUse = e, free, use
			}
		}
		if best != nil || len(j.AvoidUpstreams) == 0 {
			break
		}
	}
	return best, bestFree
}

// freeIn estimates the time until a slot of e is free. The ledger holder knows the
// expected ends; others go by the mean use of a slot.
func (p *Placer) freeIn(now core.Instant, e *engine) time.Duration {
	slots := e.slots()
	if e.ledger == nil || slots == 0 || p.holderOf(e) != p.self.ID {
		return e.freeIn(now)
	}
	e.ledger.expire(now)
	used := e.ledger.used(e.report)
	if used < slots {
		return 0
	}
	if wait, known := e.ledger.nextFree(now, slots, e.service.hold); known {
		return wait
	}
	return p.params.MaxSlotWait
}

// choosePrefill returns the pair of decode with the prefill engine that yields the
// first token earliest. Only engines of the region of decode take part, because
// KV cache doesn't cross regions.
func (p *Placer) choosePrefill(now core.Instant, j *job, decode *engine, freeIn time.Duration, factor int) choice {
	best := choice{decode: decode, freeIn: freeIn}
	for pass := range 2 {
		allowed := func(e *engine) bool {
			return e.usable(now) && (pass == 1 || !slices.Contains(j.AvoidUpstreams, e.ID))
		}
		near := j.pool.prefill.bySite[decode.site.Name]
		p.considerSample(now, j, &best, near, factor, allowed)
		region := j.pool.prefill.byRegion[decode.site.Region]
		if len(region) > len(near) {
			p.considerSample(now, j, &best, region, factor, allowed)
		}
		var space [maxHinted]*engine
		hinted := p.index.hinted(now, space[:0], j.PrefixHashes, func(e *engine) bool {
			return e.Role == RolePrefill && e.service == j.pool.service && e.serves(j.Model) && e.site.Region == decode.site.Region && allowed(e)
		})
		if p.params.NoPrefixHints {
			hinted = nil
		}
		for _, e := range hinted {
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
		if e := p.pick(list, n, start, i); allowed(e) {
			p.consider(now, j, best, e)
		}
	}
}

// consider replaces best by the pair with the prefill engine e when that yields
// the first token earlier, or as early with less work.
func (p *Placer) consider(now core.Instant, j *job, best *choice, e *engine) {
	c := choice{decode: best.decode, freeIn: best.freeIn, prefill: e}
	if !p.params.NoPrefixHints {
		c.hinted = e.hintedTokens(j.PrefixHashes, j.PromptTokens)
	}
	c.tokens = float64(j.PromptTokens) - float64(c.hinted)*e.hints.accuracy
	c.queue = e.work.wait(now, 0)
	c.prefillTime = seconds(c.tokens / e.work.rate)
	ready := max(c.queue+c.prefillTime, c.freeIn)
	c.transfer = p.transferTime(now.Add(ready), e.site, c.decode.site, p.kvBytes(e, j))
	c.firstToken = ready + c.transfer
	c.score = c.firstToken
	if e.site != c.decode.site {
		// The transfer takes room on two links instead of one.
		idle := fluid{rate: c.decode.site.link.rate}
		c.score += idle.wait(now, p.kvBytes(e, j))
	}
	if best.prefill == nil || c.score < best.score || (c.score == best.score && c.tokens < best.tokens) {
		*best = c
	}
}

// transferTime estimates a KV transfer that starts at start, behind the transfers
// that its links still carry then.
func (p *Placer) transferTime(start core.Instant, from, to *site, bytes float64) time.Duration {
	took := from.link.wait(start, bytes)
	if to != from {
		took = max(took, to.link.wait(start, bytes))
	}
	return took
}

func (p *Placer) addTransfer(now core.Instant, from, to *site, bytes float64) {
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
				e := p.pick(list, n, start, i)
				full := e.slots() > 0 && e.used() >= e.slots()
				if !e.usable(now) || full || (pass == 0 && slices.Contains(j.AvoidUpstreams, e.ID)) {
					continue
				}
				if best == nil || e.used() < best.used() {
					best = e
				}
			}
			if best != nil {
				return choice{verdict: verdictPlace, decode: best}
			}
			if len(j.AvoidUpstreams) == 0 {
				break
			}
		}
	}
	return choice{verdict: verdictWait}
}

// sample returns the size of a sample of the list and a random offset. A list that
// isn't longer than its sample is looked at completely.
func (p *Placer) sample(list []*engine, factor int) (n, start int) {
	if len(list) == 0 {
		return 0, 0
	}
	n = factor * (sampleBase + bits.Len(uint(len(list))))
	return min(n, len(list)), p.params.Rand.IntN(len(list))
}

// pick returns the engine i of a sample.
func (p *Placer) pick(list []*engine, n, start, i int) *engine {
	if n == len(list) {
		return list[(start+i)%len(list)]
	}
	return list[p.params.Rand.IntN(len(list))]
}
