// Package bootclock reads a clock that also counts the time in which the host was suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic reading. Only differences of two results mean
// anything. Leases use it, because the monotonic clock of time.Now stands still while a host is suspended.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0) // the kernel lacks the clock; the time of day also counts suspension
	}
	return time.Unix(ts.Unix())
}
