package gateway

import "time"

const (
	// sendReserve is left of the time within which the end of a job has to take effect: for an answer of a slow store that
	// tells what was true before, and for a send that first opens a connection.
	sendReserve = 800 * time.Millisecond
	// minJobView is the least time for which the view of the jobs holds, whatever the platform's bound: with less, an answer of
	// the watch would mostly be too old when it arrives, and nothing would start.
	minJobView = time.Second
	// jobWatchShare is the part of the time for which the view of the jobs holds that one call of their watch may wait, so
	// that a quiet store does not make the view old.
	jobWatchShare = 0.6
)

// jobViewValid is how long this process may start items after it last heard of the jobs: another process may have accepted
// the end of one of them since. The caller holds the lock.
func (g *Gateway) jobViewValid() time.Duration {
	return max(g.opts.Timing.CancelApply-sendReserve, minJobView)
}

// mayStartItems reports whether the view of the jobs is fresh enough to start items. The caller holds the lock.
func (g *Gateway) mayStartItems(now time.Time) bool {
	fresh := !g.jobWatchAnsweredAt.IsZero() && now.Sub(g.jobWatchAnsweredAt) < g.jobViewValid()
	if fresh == g.startsPaused {
		g.startsPaused = !fresh
		g.logStartsHeld(now)
	}
	return fresh
}

func (g *Gateway) logStartsHeld(now time.Time) {
	line := g.opts.Log.Info().Dur("view_age_ms", now.Sub(g.jobWatchAnsweredAt))
	if g.startsPaused {
		line.Msg("no item starts, the view of the jobs is too old")
		return
	}
	line.Msg("items start again")
}

// jobsHeard takes an answer to the watch of the jobs.
func (g *Gateway) jobsHeard(clock time.Duration) {
	g.storeAnswered(clock)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobWatchAnsweredAt = time.Now()
	if g.startsPaused {
		g.wakeScheduler()
	}
}
