package hosted

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"
)

const (
	memoryCheckInterval = time.Second
	// memoryFreeInterval is the shortest time between two returns of memory to the system, which cost a
	// garbage collection (some 10 ms) each. It is doubled, up to memoryFreeMax, while that does not help.
	memoryFreeInterval = 2 * time.Second
	memoryFreeMax      = time.Minute
)

// Divisors of the machine's memory, and one of the bytes that may be held for clients.
const (
	// Below keptThreshold of the memory, what the runtime keeps is not worth a collection.
	keptThreshold = 4
	// While clients hold heldThreshold of their budget, the memory is in use.
	heldThreshold = 4
	// Growth by keptGrowth since the last return, or held bytes that have fallen by heldFall, show a new load.
	keptGrowth = 8
	heldFall   = 64
)

// memoryReturn decides when memory is returned to the system that the runtime keeps after a load has
// ended, which it would only return minutes later.
type memoryReturn struct {
	// machine is the memory of the machine, budget the bytes that may be held for clients.
	machine, budget int64

	interval time.Duration
	last     time.Time
	// keptAfter is what the runtime kept right after the last return. A process whose idle memory is
	// above the threshold needs no further returns until it has grown.
	keptAfter int64
	// peakUsed is the most that was held for clients since the last return.
	peakUsed int64
}

// isDue reports whether memory is to be returned now, when the runtime keeps a number of bytes and used
// bytes are held for clients. onReturned must follow if it is.
func (m *memoryReturn) isDue(now time.Time, kept, used int64) bool {
	m.peakUsed = max(m.peakUsed, used)
	if kept < m.machine/keptThreshold || used >= m.budget/heldThreshold {
		m.interval = memoryFreeInterval
		return false
	}
	// Without this, returns that did not help while a load lasted, or before it came, put off the one
	// after its end for up to a minute.
	if kept > m.keptAfter+m.machine/keptGrowth || m.peakUsed-used > m.machine/heldFall {
		m.interval = memoryFreeInterval
	}
	return now.Sub(m.last) >= m.interval
}

// onReturned records what the runtime keeps after a return.
func (m *memoryReturn) onReturned(now time.Time, kept, used int64) {
	m.last, m.keptAfter, m.peakUsed = now, kept, used
	m.interval = min(2*max(m.interval, memoryFreeInterval), memoryFreeMax)
}

// returnMemory returns memory to the system after loads, until ctx ends.
func (d *Daemon) returnMemory(ctx context.Context) {
	limits := d.settings.admissionLimits()
	state := memoryReturn{machine: d.settings.memoryBytes(), budget: limits.Bytes, last: time.Now()}
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	kept := func() int64 {
		metrics.Read(samples)
		return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
	}
	for sleep(ctx, memoryCheckInterval) {
		d.gate.mu.Lock()
		used, conns := d.gate.budget.Used()
		d.gate.mu.Unlock()
		d.gate.metrics.SetHeld(used, conns)
		before := kept()
		if !state.isDue(time.Now(), before, used) {
			continue
		}
		d.chunks.clear()
		debug.FreeOSMemory()
		after := kept()
		state.onReturned(time.Now(), after, used)
		d.gate.log.Info("memory returned to the system", zap.Int64("kept_before", before), zap.Int64("kept_after", after),
			zap.Int64("held_bytes", used), zap.Duration("next_in", state.interval))
	}
}
