// Package wallclock keeps the time of day steady on a host whose clock is set while the process runs. It is pure code:
// readings go in, the believed time comes out.
//
// The time of day may jump by seconds and jump back again. What is counted by it, such as usage windows, must not follow
// each jump: a window would be closed before it has ended, or its requests be counted in another one.
package wallclock

import "time"

const (
	// maxDrift is the difference from the believed time up to which a reading is believed at once: two clocks that run at
	// slightly different rates differ by less between two readings.
	maxDrift = 250 * time.Millisecond
	// acceptAfter is how long a jump has to last until it counts as a correction of a wrong clock.
	acceptAfter = time.Minute
)

// Clock is the believed time of day. It is not safe for concurrent use. The zero value believes its first reading.
type Clock struct {
	started bool
	// estimate is the time of day at the steady time at.
	estimate    time.Time
	estimatedAt time.Time
	// offset is how far the readings are from the believed time since jumpedAt, on the steady clock; 0 while they agree.
	offset      time.Duration
	offsetSince time.Time
}

// Read takes a reading of the time of day and of a steady clock that counts suspension, and returns the believed time of day.
// jumped tells that the reading has just left, or come back to, the believed time, by the returned step.
func (c *Clock) Read(wall, bootTime time.Time) (estimate time.Time, step time.Duration, jumped bool) {
	wall = wall.Round(0) // without a monotonic reading
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
