package placement

import (
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// Estimates are limited to these bounds.
	minPrefillRate, maxPrefillRate = 100.0, 5e6  // tokens per second
	minTokenBytes, maxTokenBytes   = 64.0, 16e6  // bytes of KV cache per token
	minRateTokens                  = 64          // for fewer tokens, the round trip takes longer than the prefill
	maxSampleFactor                = 8.0         // limits the effect of one stalled prefill on the rate
	estimateSmoothing              = 0.15        // smoothing factor after the first samples
	slotTimeMargin                 = 1.4         // factor on the mean slot time; see slotTimePerToken
	estimateTTL                    = time.Minute // older estimates refuse nothing; see lacksRecentEstimates
)

// estimate is a moving geometric mean. The ratio of a sample to the mean is limited to
// maxSampleFactor, which limits the effect of an outlier.
type estimate struct {
	mean         float64
	samples      int
	lastSampleAt core.Instant
}

// addSample updates the mean, which begins at start and stays between low and high.
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

// kvSize estimates the KV cache size of one token of a model as a ratio of decaying sums.
// Long prompts have the greatest weight, so that engines that round sizes up to complete
// blocks don't inflate the estimate.
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

// kvSizeOf returns the estimated KV cache size of a token of the model on e, else that on
// all engines of the service, else nil.
func (e *engine) kvSizeOf(model core.ModelName) *kvSize {
	if s := e.kvSizes[model]; s != nil {
		return s
	}
	return e.service.kvSizes[model]
}

// kvBytes estimates the size of the KV cache that the prefill engine e produces for a job.
func (p *Placer) kvBytes(e *engine, j *job) float64 {
	if s := e.kvSizeOf(j.Model); s != nil {
		return float64(j.PromptTokens) * s.bytesPerToken()
	}
	blocks := (j.PromptTokens + core.BlockTokens - 1) / core.BlockTokens
	return float64(int64(blocks) * core.BlockTokens * p.params.KVBytesPerToken)
}

// lacksRecentEstimates reports whether the pair is idle and its estimates are defaults or
// out of date. Such a pair never leads to a refusal, because its estimates can be updated
// only by running a request.
func (c *choice) lacksRecentEstimates(now core.Instant, j *job) bool {
	idle := c.prefill.outstanding == 0 && c.decode.outstanding == 0 && c.slotDelay == 0 && c.prefill.prefillBacklog.remaining(now) == 0
	return idle && !(c.prefill.prefillRate.isRecent(now) && c.prefill.kvSizeOf(j.Model).isRecent(now))
}

// updateEstimates updates the prefill rate and the KV cache size from a prefill.
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

// slotTimePerToken returns the expected slot time per token of the maximum output, in
// nanoseconds. It is target, the inter-token latency, until slot times are recorded. Most
// slots must end before their expected end, because the prefill of a decode that gets no
// slot is wasted.
func (s *service) slotTimePerToken(target time.Duration) float64 {
	if s.slotNSPerToken == 0 {
		return float64(target)
	}
	return slotTimeMargin * s.slotNSPerToken
}

// recordSlotTime updates the mean slot times from the slot time of a placed job.
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

// resetEstimates removes the estimates of e after its restart. The next sample has full
// weight. Until then the KV cache size is that of all engines of the service.
func (p *Placer) resetEstimates(now core.Instant, e *engine) {
	e.prefillRate = estimate{}
	clear(e.kvSizes)
	e.prefillBacklog.setRate(now, p.params.PrefillTokensPerSecond)
}
