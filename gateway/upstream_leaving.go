package gateway

import "github.com/radishshelf/radishshelf/upstreams"

// UpstreamLeaving marks an upstream as leaving because it announced this in a response, which may come before its
// registry entry says so, or without the entry ever saying so. From then on nothing new is sent to the upstream.
func (g *Gateway) UpstreamLeaving(u upstreams.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.upstreams.MarkLeaving(u.ID, u.Born) {
		return
	}
	g.metrics.upstreamsLeaving.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).Str("service", u.Service).
		Msg("upstream announced in a response that it is leaving")
	g.wakeScheduler()
}
