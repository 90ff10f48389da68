package gateway

import (
	"time"
)

// storeLostAfter is how long the store may be silent before it is taken for lost. The watches hear from it several times
// a second, because upstreams and processes write heartbeats.
const storeLostAfter = 1500 * time.Millisecond

// storeAnswered takes an answer of the store with its clock.
func (g *Gateway) storeAnswered(clock time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeLost || !g.storeAnsweredAt.IsZero() && now.Sub(g.storeAnsweredAt) > storeLostAfter {
		g.upstreams.StoreLost()
		g.upstreams.StoreBack(now)
		g.storeLost = false
		g.opts.Log.Info().Dur("silent_ms", now.Sub(g.storeAnsweredAt)).Msg("store answers again")
	}
	g.storeAnsweredAt = now
	if clock > g.clock+now.Sub(g.clockAt) || g.clockAt.IsZero() {
		g.clock, g.clockAt = clock, now
	}
}

// storeFailed takes a failed call of a watch.
func (g *Gateway) storeFailed(table string, err error) {
	g.metrics.watchFailures.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeLost || time.Since(g.storeAnsweredAt) < storeLostAfter {
		return
	}
	g.storeLost = true
	g.upstreams.StoreLost()
	g.opts.Log.Warn().Str("table", table).Err(err).Msg("store lost")
}

// storeFresh reports whether the store answered within the last d. The caller holds the lock.
func (g *Gateway) storeFresh(d time.Duration) bool {
	return !g.storeAnsweredAt.IsZero() && time.Since(g.storeAnsweredAt) < d
}
