// Package bootclock reads a monotonic clock that also runs while the host is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time without a monotonic clock reading. Only differences between two
// results are meaningful. Leases use it, because the monotonic clock of time.Now stops while the host is suspended.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0) // the kernel lacks the clock; the wall clock also runs during suspension
	}
	return time.Unix(ts.Unix())
}
