package gateway

import "time"

const (
	// sendMargin is subtracted from the time within which the end of a job has to take effect: a slow store may
	// return an older state, and a send may have to open a connection first.
	sendMargin = 800 * time.Millisecond
	// minJobViewTTL is the minimum validity of the job view, whatever bound the platform sets: with less, a watch
	// response would usually be too old when it arrives, and no item would start.
	minJobViewTTL = time.Second
	// jobWatchWaitFraction is the fraction of the job view's validity that one watch call may wait, so that the view
	// does not expire while the store has no changes.
	jobWatchWaitFraction = 0.6
)

// jobViewTTL returns how long this process may start items after the last response to the job watch: another process
// may have accepted the end of a job since. The caller holds g.mu.
func (g *Gateway) jobViewTTL() time.Duration {
	return max(g.opts.Timing.CancelApply-sendMargin, minJobViewTTL)
}

// mayStartItems reports whether the job view is recent enough to start items. The caller holds g.mu.
func (g *Gateway) mayStartItems(now time.Time) bool {
	fresh := !g.lastJobWatchResponse.IsZero() && now.Sub(g.lastJobWatchResponse) < g.jobViewTTL()
	if fresh == g.startsPaused {
		g.startsPaused = !fresh
		g.logStartsPaused(now)
	}
	return fresh
}

// logStartsPaused logs that the starting of items was paused or resumed.
func (g *Gateway) logStartsPaused(now time.Time) {
	line := g.opts.Log.Info().Dur("view_age_ms", now.Sub(g.lastJobWatchResponse))
	if g.startsPaused {
		line.Msg("starting of items paused: the job view is too old")
		return
	}
	line.Msg("starting of items resumed")
}

// recordJobWatchResponse records a response to the job watch.
func (g *Gateway) recordJobWatchResponse(clock time.Duration) {
	g.recordStoreResponse(clock)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastJobWatchResponse = time.Now()
	if g.startsPaused {
		g.wakeScheduler()
	}
}
