package platform

import (
	"math/rand/v2"
	"time"
)

// BackOff computes the delays between the retries of a failed call, with decorrelated
// jitter: each delay is between Min and three times the previous one, and at most Max.
type BackOff struct {
	Min, Max time.Duration
	// Random is the random source. Default: the global one.
	Random *rand.Rand

	lastDelay time.Duration
}

// Next returns the next delay.
func (b *BackOff) Next() time.Duration {
	b.lastDelay = max(b.lastDelay, b.Min)
	jitterRange := int64(3*b.lastDelay-b.Min) + 1
	n := rand.Int64N
	if b.Random != nil {
		n = b.Random.Int64N
	}
	b.lastDelay = min(b.Max, b.Min+time.Duration(n(jitterRange)))
	return b.lastDelay
}

// Reset makes the next delay start at Min again. It is called after a success.
func (b *BackOff) Reset() { b.lastDelay = 0 }
