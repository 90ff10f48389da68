package gateway

import (
	"time"
)

const (
	// loadReportInterval is the time over which the spread of requests over upstreams is judged: short enough to show a
	// burst, and a few steps of a trainer long.
	loadReportInterval = 10 * time.Second
	// minMeanSends is how many requests an upstream must have got on average. With fewer, chance makes one the busiest.
	minMeanSends = 5
	// unevenSpread is the ratio of the busiest upstream to the mean from which on a line is logged.
	unevenSpread = 2
)

// reportSpread logs the services whose upstreams got unequal numbers of requests from this process, and keeps the highest
// ratio for the metric. The caller holds g.mu.
func (g *Gateway) reportSpread(now time.Time) {
	if now.Sub(g.spreadReportedAt) < loadReportInterval {
		return
	}
	g.spreadReportedAt, g.busiestOverMean = now, 0
	for service, l := range g.serviceLoads {
		ids := g.readyIDs(service)
		busiest, ratio := l.spread.Busiest(ids, minMeanSends)
		l.spread.Reset()
		g.busiestOverMean = max(g.busiestOverMean, ratio)
		if ratio < unevenSpread {
			continue
		}
		peers := l.peers.Expected(busiest, now)
		g.opts.Log.Info().Str("service", service).Str("upstream", busiest).Float64("busiest_over_mean", ratio).
			Int("upstreams", len(ids)).Float64("slowness", l.times.Slowness(busiest, now)).Float64("peer_requests", peers).
			Int("own_requests", g.inFlight[busiest]).Msg("uneven spread of requests over upstreams")
	}
}
