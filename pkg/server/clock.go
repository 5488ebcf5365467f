package server

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/boottime"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// clock reads the time since the start of the process, with the time for which the machine
// was suspended.
type clock struct {
	bootTime func() time.Duration
	start    time.Duration
}

func newClock() clock { return clock{bootTime: boottime.Now, start: boottime.Now()} }

func (c clock) now() core.Instant { return core.Instant(c.bootTime() - c.start) }

// until returns the duration from now to t, at most an hour. It is negative when t
// has passed.
func (c clock) until(t core.Instant) time.Duration {
	return min(t.Sub(c.now()), time.Hour)
}

// stallDetector detects that the process did not run for a while, because it was stopped or
// its machine suspended.
type stallDetector struct {
	maxStall  time.Duration
	lastCheck core.Instant
}

// check reports whether more than maxStall has passed since the last check.
func (d *stallDetector) check(now core.Instant) bool {
	stalled := now.Sub(d.lastCheck) > d.maxStall
	d.lastCheck = now
	return stalled
}
