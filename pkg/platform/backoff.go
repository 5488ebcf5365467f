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

	last time.Duration
}

// Next returns the next wait.
func (b *BackOff) Next() time.Duration {
	b.last = max(b.last, b.Min)
	spread := int64(3*b.last-b.Min) + 1
	n := rand.Int64N
	if b.Random != nil {
		n = b.Random.Int64N
	}
	b.last = min(b.Max, b.Min+time.Duration(n(spread)))
	return b.last
}

// Reset starts again at Min after a success.
func (b *BackOff) Reset() { b.last = 0 }
