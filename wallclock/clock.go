// Package wallclock provides a wall clock that ignores temporary jumps of the host's clock. It does no I/O: it computes
// an estimate of the time of day from readings that the caller passes.
//
// The clock of a host may jump by seconds and jump back again. Whatever is based on it, such as usage windows, must not
// follow each jump: a window would be closed before its end, or its requests would be counted in another window.
package wallclock

import "time"

const (
	// maxDrift is the difference from the estimate up to which a reading is accepted immediately. Between two readings,
	// clocks that run at slightly different rates diverge by less.
	maxDrift = 250 * time.Millisecond
	// acceptAfter is how long a jump has to last to be accepted as the correction of a wrong clock.
	acceptAfter = time.Minute
)

// Clock estimates the time of day. It is not safe for concurrent use. The zero value accepts its first reading.
type Clock struct {
	started bool
	// estimate is the estimated time of day at the boot time estimatedAt.
	estimate    time.Time
	estimatedAt time.Time
	// offset is the difference of the readings from the estimate since the boot time offsetSince; 0 while they agree.
	offset      time.Duration
	offsetSince time.Time
}

// Read takes a reading of the wall clock and one of a clock that never jumps and also runs while the host is suspended,
// such as bootclock. It returns the estimated time of day. jumped is true if the wall clock has just jumped away from
// the estimate or back to it, and step is the size of that jump.
func (c *Clock) Read(wall, bootTime time.Time) (estimate time.Time, step time.Duration, jumped bool) {
	wall = wall.Round(0) // strips the monotonic clock reading
	if !c.started {
		c.started, c.estimate, c.estimatedAt = true, wall, bootTime
		return wall, 0, false
	}
	c.estimate, c.estimatedAt = c.estimate.Add(bootTime.Sub(c.estimatedAt)), bootTime
	difference := wall.Sub(c.estimate)
	if difference.Abs() <= maxDrift {
		jumped = c.offset != 0
		step, c.offset, c.estimate = -c.offset, 0, wall
		return wall, step, jumped
	}
	if (difference - c.offset).Abs() > maxDrift {
		step, c.offset, c.offsetSince = difference-c.offset, difference, bootTime
		return c.estimate, step, true
	}
	if bootTime.Sub(c.offsetSince) >= acceptAfter {
		c.offset, c.estimate = 0, wall
	}
	return c.estimate, 0, false
}
