package gateway

import (
	"time"
)

// storeLostAfter is how long the store may not respond before it counts as unavailable. The watches hear from it
// several times a second, because upstreams and processes write heartbeats.
const storeLostAfter = 1500 * time.Millisecond

// storeAnswered records a response of the store and its clock.
func (g *Gateway) storeAnswered(clock time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeLost || !g.storeAnsweredAt.IsZero() && now.Sub(g.storeAnsweredAt) > storeLostAfter {
		g.upstreams.StoreUnavailable()
		g.upstreams.StoreAvailable(now)
		g.storeLost = false
		g.opts.Log.Info().Dur("silent_ms", now.Sub(g.storeAnsweredAt)).Msg("store available again")
	}
	g.storeAnsweredAt = now
	if clock > g.clock+now.Sub(g.clockAt) || g.clockAt.IsZero() {
		g.clock, g.clockAt = clock, now
	}
}

// watchFailed records a failed call of a watch.
func (g *Gateway) watchFailed(table string, err error) {
	g.metrics.watchFailures.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeLost || time.Since(g.storeAnsweredAt) < storeLostAfter {
		return
	}
	g.storeLost = true
	g.upstreams.StoreUnavailable()
	g.opts.Log.Warn().Str("table", table).Err(err).Msg("store does not respond")
}

// storeAnsweredWithin reports whether the store responded within the last d. The caller holds g.mu.
func (g *Gateway) storeAnsweredWithin(d time.Duration) bool {
	return !g.storeAnsweredAt.IsZero() && time.Since(g.storeAnsweredAt) < d
}
