package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// UpstreamAnnounced records what an upstream says of itself in a response. It is called for every response, whatever the
// response is for.
func (g *Gateway) UpstreamAnnounced(u upstreams.Entry, a upstreamcall.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Leaving {
		g.markLeaving(u)
	}
	g.hearLimit(u, a)
	g.limits.ObserveResponse(u, time.Now())
	g.observeCold(u, a.ColdFor)
}

// markLeaving marks an upstream as leaving because it announced this in a response, which may come before its registry
// entry says so, or without the entry ever saying so. From then on nothing new is sent to the upstream. The caller holds
// g.mu.
func (g *Gateway) markLeaving(u upstreams.Entry) {
	if !g.upstreams.MarkLeaving(u.ID, u.Born) {
		return
	}
	g.metrics.upstreamsLeaving.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).Str("service", u.Service).
		Msg("upstream announced in a response that it is leaving")
	g.wakeScheduler()
}

// hearLimit records the limit in a response. The caller holds g.mu.
func (g *Gateway) hearLimit(u upstreams.Entry, a upstreamcall.Announcement) {
	if a.InvalidLimit != "" {
		g.metrics.invalidLimits.Inc()
		g.opts.Log.Warn().Str("upstream", u.ID).Str("limit", a.InvalidLimit).
			Msg("upstream named a limit that is not a positive number")
		if a.Limit == 0 {
			return
		}
	}
	now := time.Now()
	if change, changed := g.limits.Hear(u, a.Limit, a.RequestedAt, now); changed {
		g.applyLimitChange(change)
	}
}
