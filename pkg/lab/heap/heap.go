// Package heap measures the memory that a part of a test uses.
package heap

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// sampleInterval is the time between two measurements.
const sampleInterval = 5 * time.Millisecond

// Peak runs work and returns by how many bytes that are in use the heap has grown at most.
func Peak(work func()) uint64 {
	before := inUse()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	peak := before
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(sampleInterval):
			peak = max(peak, inUse())
		}
	}
}

func inUse() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtime.GC()
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
