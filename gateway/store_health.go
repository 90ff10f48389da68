package gateway

import (
	"time"
)

// storeLostAfter is how long the store may not respond before it counts as unavailable. The watches hear from it
// several times a second, because upstreams and processes write heartbeats.
const storeLostAfter = 1500 * time.Millisecond

// recordStoreResponse records a response of the store and its clock.
func (g *Gateway) recordStoreResponse(clock time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeLost || !g.lastStoreResponse.IsZero() && now.Sub(g.lastStoreResponse) > storeLostAfter {
		g.upstreams.StoreUnavailable()
		g.upstreams.StoreAvailable(now)
		g.storeLost = false
		g.opts.Log.Info().Dur("silent_ms", now.Sub(g.lastStoreResponse)).Msg("store available again")
	}
	g.lastStoreResponse = now
	if clock > g.clock+now.Sub(g.clockAt) || g.clockAt.IsZero() {
		g.clock, g.clockAt = clock, now
	}
}

// recordWatchFailure records a failed call of a watch.
func (g *Gateway) recordWatchFailure(table string, err error) {
	g.metrics.watchFailures.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeLost || time.Since(g.lastStoreResponse) < storeLostAfter {
		return
	}
	g.storeLost = true
	g.upstreams.StoreUnavailable()
	g.opts.Log.Warn().Str("table", table).Err(err).Msg("store does not respond")
}

// storeRespondedWithin reports whether the store responded within the last d. The caller holds g.mu.
func (g *Gateway) storeRespondedWithin(d time.Duration) bool {
	return !g.lastStoreResponse.IsZero() && time.Since(g.lastStoreResponse) < d
}
