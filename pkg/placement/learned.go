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
	learnStep                      = 0.15        // weight of one sample once several are in
	endMargin                      = 1.4         // on the mean use of a slot; see perToken
	learnedFor                     = time.Minute // then an idle engine is measured again
)

// learned is a moving geometric mean. Samples far from the mean are cut down to
// maxSampleFactor, so that one outlier does little.
type learned struct {
	mean    float64
	samples int
	at      core.Instant // of the last sample
}

func (l *learned) add(now core.Instant, start, sample, low, high float64) {
	if l.samples == 0 {
		l.mean = start
	}
	factor := min(max(sample/l.mean, 1/maxSampleFactor), maxSampleFactor)
	l.samples++
	step := max(learnStep, 1/float64(l.samples))
	l.mean = min(max(l.mean*math.Pow(factor, step), low), high)
	l.at = now
}

func (l *learned) fresh(now core.Instant) bool {
	return l.samples > 0 && now.Sub(l.at) < learnedFor
}

// size is the KV cache size of one token of a model, as a ratio of decaying sums.
// Long prompts weigh most, so that an engine that rounds sizes up to whole blocks
// is not overrated.
type size struct {
	bytes, tokens float64
	at            core.Instant
}

func (s *size) add(now core.Instant, bytes int64, tokens int) {
	s.bytes = s.bytes*(1-learnStep) + float64(bytes)
	s.tokens = s.tokens*(1-learnStep) + float64(tokens)
	s.at = now
}

func (s *size) perToken() float64 {
	return min(max(s.bytes/s.tokens, minTokenBytes), maxTokenBytes)
}

func (s *size) fresh(now core.Instant) bool { return s != nil && now.Sub(s.at) < learnedFor }

// sizeOf returns the learned size of a token of the model on e, else that of the
// model on the other engines of the service, else nil.
func (e *engine) sizeOf(model core.ModelName) *size {
	if s := e.sizes[model]; s != nil {
		return s
	}
	return e.service.sizes[model]
}

// kvBytes estimates the KV cache that the prefill engine e makes for a job.
func (p *Placer) kvBytes(e *engine, j *job) float64 {
	if s := e.sizeOf(j.Model); s != nil {
		return float64(j.PromptTokens) * s.perToken()
	}
	blocks := (j.PromptTokens + core.BlockTokens - 1) / core.BlockTokens
	return float64(int64(blocks) * core.BlockTokens * p.params.KVBytesPerToken)
}

// unmeasured reports whether the estimate of an idle pair rests on assumed or old
// values. Such a pair refuses nothing: without a request it would never be
// measured.
func (c *choice) unmeasured(now core.Instant, j *job) bool {
	idle := c.prefill.outstanding == 0 && c.decode.outstanding == 0 && c.freeIn == 0 && c.prefill.work.left(now) == 0
	return idle && !(c.prefill.speed.fresh(now) && c.prefill.sizeOf(j.Model).fresh(now))
}

// learn takes in what a prefill has measured.
func (p *Placer) learn(now core.Instant, e *engine, j *job, r PrefillResult) {
	if r.KVBytes > 0 && j.PromptTokens > 0 {
		for _, sizes := range []map[core.ModelName]*size{e.sizes, e.service.sizes} {
			if sizes[j.Model] == nil {
				sizes[j.Model] = &size{}
			}
			sizes[j.Model].add(now, r.KVBytes, j.PromptTokens)
		}
		change := float64(r.KVBytes) - j.kvBytes
		p.addTransfer(now, e.site, j.decode.site, change)
		j.kvBytes = float64(r.KVBytes)
	}
	tokens := float64(j.PromptTokens-r.CachedTokens) + j.ahead
	if r.Duration > 0 && tokens >= minRateTokens {
		e.speed.add(now, p.params.PrefillTokensPerSecond, tokens/r.Duration.Seconds(), minPrefillRate, maxPrefillRate)
		e.work.setRate(now, e.speed.mean)
	}
}

// perToken returns the expected use of a slot per token of the greatest output, in
// nanoseconds: the target between tokens until slots have been measured. Most
// slots must end before they are expected to, because a decode without its slot
// wastes its prefill: with a margin of 1.0 instead of 1.4, 18 % of the prefill was
// wasted at full load, with 1.4 under 2 %.
func (s *service) perToken(target time.Duration) float64 {
	if s.tokenNS == 0 {
		return float64(target)
	}
	return endMargin * s.tokenNS
}

// noteUse takes in how long a placed job has used its slot.
func (s *service) noteUse(j *job, used time.Duration) {
	s.hold += time.Duration(holdStep * float64(used-s.hold))
	if target := s.Targets.InterTokenLatency; target > 0 && j.MaxOutputTokens > 0 {
		sample := min(float64(used)/float64(j.MaxOutputTokens), maxHoldFactor*float64(target))
		if s.tokenNS == 0 {
			s.tokenNS = float64(target)
		}
		s.tokenNS += holdStep * (sample - s.tokenNS)
	}
}

// forgetLearned drops what was measured of e before its restart. The next sample
// counts in full, and sizes come from the other engines until then.
func (p *Placer) forgetLearned(now core.Instant, e *engine) {
	e.speed = learned{}
	clear(e.sizes)
	e.work.setRate(now, p.params.PrefillTokensPerSecond)
}
