package platform

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against repeats without a pause, pauses beyond the maximum, and callers
// that repeat in step.
func TestBackOffStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := BackOff{Min: 50 * time.Millisecond, Max: 5 * time.Second}
		b.Random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		waits := map[time.Duration]bool{}
		last := b.Min
		for range 30 {
			wait := b.Next()
			if wait < b.Min || wait > min(b.Max, 3*last) {
				t.Fatalf("waited %v after %v", wait, last)
			}
			waits[wait] = true
			last = wait
		}
		if len(waits) < 10 {
			t.Fatalf("only %d different waits of 30", len(waits))
		}
	})
}
