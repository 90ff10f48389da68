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
	// believeAfter is how long a jump has to last until it counts as a correction of a wrong clock.
	believeAfter = time.Minute
)

// Clock is the believed time of day. It is not safe for concurrent use. The zero value believes its first reading.
type Clock struct {
	started bool
	// believed is the time of day at the steady time at.
	believed time.Time
	at       time.Time
	// jump is how far the readings are from the believed time since jumpedAt, on the steady clock; 0 while they agree.
	jump     time.Duration
	jumpedAt time.Time
}

// Read takes a reading of the time of day and of a steady clock that counts suspension, and returns the believed time of day.
// jumped tells that the reading has just left, or come back to, the believed time, by the returned step.
func (c *Clock) Read(wall, steady time.Time) (believed time.Time, step time.Duration, jumped bool) {
	wall = wall.Round(0) // without a monotonic reading
	if !c.started {
		c.started, c.believed, c.at = true, wall, steady
		return wall, 0, false
	}
	c.believed, c.at = c.believed.Add(steady.Sub(c.at)), steady
	difference := wall.Sub(c.believed)
	if difference.Abs() <= maxDrift {
		jumped = c.jump != 0
		step, c.jump, c.believed = -c.jump, 0, wall
		return wall, step, jumped
	}
	if (difference - c.jump).Abs() > maxDrift {
		step, c.jump, c.jumpedAt = difference-c.jump, difference, steady
		return c.believed, step, true
	}
	if steady.Sub(c.jumpedAt) >= believeAfter {
		c.jump, c.believed = 0, wall
	}
	return c.believed, 0, false
}
