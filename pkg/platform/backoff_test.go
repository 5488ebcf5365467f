package platform

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against retries without a delay, delays above the maximum, and callers that
// retry in lockstep.
func TestBackOffStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := BackOff{Min: 50 * time.Millisecond, Max: 5 * time.Second}
		b.Random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		delays := map[time.Duration]bool{}
		last := b.Min
		for range 30 {
			delay := b.Next()
			if delay < b.Min || delay > min(b.Max, 3*last) {
				t.Fatalf("delay of %v after %v", delay, last)
			}
			delays[delay] = true
			last = delay
		}
		if len(delays) < 10 {
			t.Fatalf("only %d different delays of 30", len(delays))
		}
	})
}
