package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/bootclock"
)

// timeOfDay returns the time of day, corrected for jumps of the host's clock. Only usage windows depend on it; all
// other times are differences of monotonic clocks, and the times of jobs are those of the store's clock. The caller
// holds g.mu.
func (g *Gateway) timeOfDay() time.Time {
	now := g.opts.WallClock()
	estimate, step, jumped := g.wall.Read(now, bootclock.Now())
	if jumped {
		g.opts.Log.Warn().Dur("step_ms", step).Time("believed", estimate).
			Msg("the host's clock jumped; correcting the time of day")
	}
	return estimate
}
