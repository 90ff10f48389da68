package gateway

import "github.com/radishshelf/radishshelf/upstreams"

// UpstreamLeaving takes the word of an upstream that it leaves, which may come earlier than its entry, or alone. Nothing new is
// sent there from now on.
func (g *Gateway) UpstreamLeaving(u upstreams.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.upstreams.Leave(u.ID, u.Born) {
		return
	}
	g.metrics.upstreamsLeaving.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).Str("service", u.Service).
		Msg("upstream says in an answer that it leaves")
	g.wakeScheduler()
}
