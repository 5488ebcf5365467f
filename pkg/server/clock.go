package server

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// clock reads the process's monotonic clock as instants since its start.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() core.Instant { return core.Instant(time.Since(c.start)) }

// until returns the time from now to the instant, at most an hour.
func (c clock) until(t core.Instant) time.Duration {
	return min(t.Sub(c.now()), time.Hour)
}

// stallDetector notices that the process did not run for a while. It compares
// both clocks, since a suspended machine may stop the monotonic one.
type stallDetector struct {
	maxStall  time.Duration
	lastCheck time.Time // carries a wall and a monotonic reading
}

func newStallDetector(longest time.Duration) stallDetector {
	return stallDetector{maxStall: longest, lastCheck: time.Now()}
}

// check reports whether more than the longest allowed time has passed since the
// last check on either clock.
func (d *stallDetector) check(now time.Time) bool {
	monotonic := now.Sub(d.lastCheck)
	wall := now.Round(0).Sub(d.lastCheck.Round(0))
	d.lastCheck = now
	return monotonic > d.maxStall || wall > d.maxStall
}
