package platform

import (
	"math/rand/v2"
	"time"
)

// BackOff yields the waits between repeats of a failed call, with decorrelated
// jitter: each wait lies between Min and three times the wait before, at most Max.
type BackOff struct {
	Min, Max time.Duration
	// Random replaces the global random source.
	Random *rand.Rand

	lastDelay time.Duration
}

// Next returns the next wait.
func (b *BackOff) Next() time.Duration {
	b.lastDelay = max(b.lastDelay, b.Min)
	spread := int64(3*b.lastDelay-b.Min) + 1
	n := rand.Int64N
	if b.Random != nil {
		n = b.Random.Int64N
	}
	b.lastDelay = min(b.Max, b.Min+time.Duration(n(spread)))
	return b.lastDelay
}

// Reset starts again at Min after a success.
func (b *BackOff) Reset() { b.lastDelay = 0 }
