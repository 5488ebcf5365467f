package placement

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

const (
	// initialHitRatio is the assumed hit ratio of the hints of a new engine.
	initialHitRatio = 0.5
	// hitRatioSmoothing is the smoothing factor of the hit ratio (EWMA over prefills).
	hitRatioSmoothing = 0.2
	// gapPenalty scales the hit ratio when cache events are missing.
	gapPenalty = 0.5
	// maxHintedEngines bounds the engines that are examined because of their hints.
	maxHintedEngines = 4
)

// prefixHints is the expected content of the prefix cache of one engine. It is updated
// from cache events, which are delayed and may be lost, so expected hits are discounted
// by the observed hit ratio.
type prefixHints struct {
	hitRatio float64
	nextSeq  uint64 // sequence number of the next cache event, 0 for unknown
	blocks   map[uint64]bool
	order    []uint64 // insertion order, for the bound
}

func newHints() prefixHints { return prefixHints{hitRatio: initialHitRatio, blocks: map[uint64]bool{}} }

// prefixIndex maps a block to the engines that are expected to hold it.
type prefixIndex map[uint64][]*engine

func (x prefixIndex) store(e *engine, block uint64, limit int) {
	if e.hints.blocks[block] {
		return
	}
	e.hints.blocks[block] = true
	e.hints.order = append(e.hints.order, block)
	x[block] = append(x[block], e)
	for len(e.hints.blocks) > limit {
		oldest := e.hints.order[0]
		e.hints.order = e.hints.order[1:]
		x.evict(e, oldest)
	}
	if len(e.hints.order) > 2*limit {
		e.compactOrder()
	}
}

// compactOrder removes evicted and repeated blocks from the insertion order.
func (e *engine) compactOrder() {
	seen := make(map[uint64]bool, len(e.hints.blocks))
	kept := e.hints.order[:0]
	for _, block := range e.hints.order {
		if e.hints.blocks[block] && !seen[block] {
			kept = append(kept, block)
			seen[block] = true
		}
	}
	e.hints.order = kept
}

func (x prefixIndex) evict(e *engine, block uint64) {
	if !e.hints.blocks[block] {
		return
	}
	delete(e.hints.blocks, block)
	holders := x[block]
	for i, other := range holders {
		if other == e {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(x, block)
		return
	}
	x[block] = holders
}

func (x prefixIndex) removeEngine(e *engine) {
	for block := range e.hints.blocks {
		x.evict(e, block)
	}
	e.hints = newHints()
}

// enginesHolding appends to found the usable engines that are expected to hold the longest
// part of the prefix, up to a length of maxHintedEngines.
func (x prefixIndex) enginesHolding(now core.Instant, found []*engine, prefix []uint64, usable func(*engine) bool) []*engine {
	for i := len(prefix) - 1; i >= 0 && len(found) < maxHintedEngines; i-- {
		for _, e := range x[prefix[i]] {
			if len(found) == maxHintedEngines {
				break
			}
			if usable(e) && !contains(found, e) {
				found = append(found, e)
			}
		}
	}
	return found
}

func contains(list []*engine, e *engine) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}

// expectedCachedTokens returns the number of prompt tokens that the engine is expected to
// hold, not discounted by the hit ratio.
func (e *engine) expectedCachedTokens(prefix []uint64, prompt int) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		if e.hints.blocks[prefix[i]] {
			return min((i+1)*core.BlockTokens, prompt)
		}
	}
	return 0
}

// updateHitRatio updates the hit ratio from a prefill that was expected to find expected
// cached tokens and found cached.
func (h *prefixHints) updateHitRatio(expected, cached int) {
	if expected == 0 {
		return
	}
	hitRatio := min(1, float64(cached)/float64(expected))
	h.hitRatio += hitRatioSmoothing * (hitRatio - h.hitRatio)
}

// OnCacheEvents applies the cache events of a prefill engine. A gap in the sequence numbers
// lowers the hit ratio of its hints; later prefills update it again.
func (p *Placer) OnCacheEvents(now core.Instant, up core.UpstreamID, events CacheEvents) {
	e := p.engines[up]
	if e == nil || len(events.Events) == 0 {
		return
	}
	last := events.FirstSeq + uint64(len(events.Events))
	if e.hints.nextSeq != 0 && events.FirstSeq > e.hints.nextSeq {
		e.hints.hitRatio *= gapPenalty
	}
	for i, event := range events.Events {
		if events.FirstSeq+uint64(i) < e.hints.nextSeq {
			continue // duplicate
		}
		if event.Stored {
			p.prefixIndex.store(e, event.BlockHash, p.params.MaxPrefixHints)
		} else {
			p.prefixIndex.evict(e, event.BlockHash)
		}
	}
	e.hints.nextSeq = max(e.hints.nextSeq, last)
}

// OnPrefillResult handles the outcome of a prefill: it updates the hit ratio and the
// estimates of the engine and records that the engine now holds the prompt.
func (p *Placer) OnPrefillResult(now core.Instant, up core.UpstreamID, r PrefillResult) {
	j := p.jobs[r.ID]
	e := p.engines[up]
	if j == nil || e == nil || j.prefill != e {
		return
	}
	e.hints.updateHitRatio(j.expectedCachedTokens, r.CachedTokens)
	j.expectedCachedTokens = 0
	p.updateEstimates(now, e, j, r)
	for _, block := range j.PrefixHashes {
		p.prefixIndex.store(e, block, p.params.MaxPrefixHints)
	}
}
