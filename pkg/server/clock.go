package server

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// clock reads the monotonic clock as the time since the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() core.Instant { return core.Instant(time.Since(c.start)) }

// until returns the duration from now to t, at most an hour. It is negative when t
// has passed.
func (c clock) until(t core.Instant) time.Duration {
	return min(t.Sub(c.now()), time.Hour)
}

// stallDetector detects that the process did not run for a while. It reads both
// clocks, since the monotonic clock may stop while the machine is suspended.
type stallDetector struct {
	maxStall  time.Duration
	lastCheck time.Time // with a wall clock and a monotonic reading
}

func newStallDetector(maxStall time.Duration) stallDetector {
	return stallDetector{maxStall: maxStall, lastCheck: time.Now()}
}

// check reports whether more than maxStall has passed on either clock since the
// last check.
func (d *stallDetector) check(now time.Time) bool {
	monotonic := now.Sub(d.lastCheck)
	wall := now.Round(0).Sub(d.lastCheck.Round(0))
	d.lastCheck = now
	return monotonic > d.maxStall || wall > d.maxStall
}
