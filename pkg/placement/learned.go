package placement

import (
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// Bounds of learned values: no engine is believed to be outside of them.
	minPrefillRate, maxPrefillRate = 100.0, 5e6  // tokens per second
	minTokenBytes, maxTokenBytes   = 64.0, 16e6  // bytes of KV cache per token
	minRateTokens                  = 64          // below, the round trip outweighs the prefill
	maxSampleFactor                = 8.0         // one stalled prefill moves the speed by no more
	estimateSmoothing              = 0.15        // weight of one sample once several are in
	slotTimeMargin                 = 1.4         // on the mean use of a slot; see perToken
	estimateTTL                    = time.Minute // then an idle engine is measured again
)

// estimate is a moving geometric mean. Samples far from the mean are cut down to
// maxSampleFactor, so that one outlier does little.
type estimate struct {
	mean         float64
	samples      int
	lastSampleAt core.Instant // of the last sample
}

func (e *estimate) addSample(now core.Instant, start, sample, low, high float64) {
	if e.samples == 0 {
		e.mean = start
	}
	factor := min(max(sample/e.mean, 1/maxSampleFactor), maxSampleFactor)
	e.samples++
	weight := max(estimateSmoothing, 1/float64(e.samples))
	e.mean = min(max(e.mean*math.Pow(factor, weight), low), high)
	e.lastSampleAt = now
}

func (e *estimate) isRecent(now core.Instant) bool {
	return e.samples > 0 && now.Sub(e.lastSampleAt) < estimateTTL
}

// kvSize is the KV cache kvSize of one token of a model, as a ratio of decaying sums.
// Long prompts weigh most, so that an engine that rounds sizes up to whole blocks
// is not overrated.
type kvSize struct {
	bytes, tokens float64
	lastSampleAt  core.Instant
}

func (s *kvSize) addSample(now core.Instant, bytes int64, tokens int) {
	s.bytes = s.bytes*(1-estimateSmoothing) + float64(bytes)
	s.tokens = s.tokens*(1-estimateSmoothing) + float64(tokens)
	s.lastSampleAt = now
}

func (s *kvSize) bytesPerToken() float64 {
	return min(max(s.bytes/s.tokens, minTokenBytes), maxTokenBytes)
}

func (s *kvSize) isRecent(now core.Instant) bool {
	return s != nil && now.Sub(s.lastSampleAt) < estimateTTL
}

// kvSizeOf returns the learned size of a token of the model on e, else that of the
// model on the other engines of the service, else nil.
func (e *engine) kvSizeOf(model core.ModelName) *kvSize {
	if s := e.kvSizes[model]; s != nil {
		return s
	}
	return e.service.kvSizes[model]
}

// kvBytes estimates the KV cache that the prefill engine e makes for a job.
func (p *Placer) kvBytes(e *engine, j *job) float64 {
	if s := e.kvSizeOf(j.Model); s != nil {
		return float64(j.PromptTokens) * s.bytesPerToken()
	}
	blocks := (j.PromptTokens + core.BlockTokens - 1) / core.BlockTokens
	return float64(int64(blocks) * core.BlockTokens * p.params.KVBytesPerToken)
}

// lacksRecentEstimates reports whether the estimate of an idle pair rests on assumed or old
// values. Such a pair refuses nothing: without a request it would never be
// measured.
func (c *choice) lacksRecentEstimates(now core.Instant, j *job) bool {
	idle := c.prefill.outstanding == 0 && c.decode.outstanding == 0 && c.slotDelay == 0 && c.prefill.prefillBacklog.remaining(now) == 0
	return idle && !(c.prefill.prefillRate.isRecent(now) && c.prefill.kvSizeOf(j.Model).isRecent(now))
}

// updateEstimates takes in what a prefill has measured.
func (p *Placer) updateEstimates(now core.Instant, e *engine, j *job, r PrefillResult) {
	if r.KVBytes > 0 && j.PromptTokens > 0 {
		for _, sizes := range []map[core.ModelName]*kvSize{e.kvSizes, e.service.kvSizes} {
			if sizes[j.Model] == nil {
				sizes[j.Model] = &kvSize{}
			}
			sizes[j.Model].addSample(now, r.KVBytes, j.PromptTokens)
		}
		difference := float64(r.KVBytes) - j.kvBytes
		p.addTransfer(now, e.dc, j.decode.dc, difference)
		j.kvBytes = float64(r.KVBytes)
	}
	tokens := float64(j.PromptTokens-r.CachedTokens) + j.queuedTokensAhead
	if r.Duration > 0 && tokens >= minRateTokens {
		e.prefillRate.addSample(now, p.params.PrefillTokensPerSecond, tokens/r.Duration.Seconds(), minPrefillRate, maxPrefillRate)
		e.prefillBacklog.setRate(now, e.prefillRate.mean)
	}
}

// slotTimePerToken returns the expected use of a slot per token of the greatest output, in
// nanoseconds: the target between tokens until slots have been measured. Most
// slots must end before they are expected to, because a decode without its slot
// wastes its prefill: with a margin of 1.0 instead of 1.4, 18 % of the prefill was
// wasted at full load, with 1.4 under 2 %.
func (s *service) slotTimePerToken(target time.Duration) float64 {
	if s.slotNSPerToken == 0 {
		return float64(target)
	}
	return slotTimeMargin * s.slotNSPerToken
}

// recordSlotTime takes in how long a placed job has used its slot.
func (s *service) recordSlotTime(j *job, used time.Duration) {
	s.meanSlotTime += time.Duration(slotTimeSmoothing * float64(used-s.meanSlotTime))
	if target := s.Targets.InterTokenLatency; target > 0 && j.MaxOutputTokens > 0 {
		sample := min(float64(used)/float64(j.MaxOutputTokens), maxSlotTimeFactor*float64(target))
		if s.slotNSPerToken == 0 {
			s.slotNSPerToken = float64(target)
		}
		s.slotNSPerToken += slotTimeSmoothing * (sample - s.slotNSPerToken)
	}
}

// resetEstimates drops what was measured of e before its restart. The next sample
// counts in full, and sizes come from the other engines until then.
func (p *Placer) resetEstimates(now core.Instant, e *engine) {
	e.prefillRate = estimate{}
	clear(e.kvSizes)
	e.prefillBacklog.setRate(now, p.params.PrefillTokensPerSecond)
}
