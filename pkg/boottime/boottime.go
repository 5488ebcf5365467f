// Package boottime reads the clock for leases, deadlines and other permissions that end.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted. Unlike the monotonic clock that package
// time uses, it goes on while the machine is suspended, and unlike the time of day it is never
// set.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}
