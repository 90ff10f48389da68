package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/upstreamlimit"
	"github.com/radishshelf/radishshelf/upstreams"
)

// limitView tells package upstreamlimit which hosts and upstreams this process knows. The caller of its methods holds g.mu.
type limitView struct{ g *Gateway }

// Hosts returns the other live hosts.
func (v limitView) Hosts() []string {
	var hosts []string
	for _, peer := range v.g.peers.Live() {
		if peer.Host != v.g.opts.Host {
			hosts = append(hosts, peer.Host)
		}
	}
	return hosts
}

// IsRegistered reports whether an incarnation of an upstream has an entry.
func (v limitView) IsRegistered(i upstreams.Incarnation) bool {
	e, ok := v.g.upstreams.Get(i.ID)
	return ok && e.Born == i.Born
}

// applyLimitChange logs and counts a limit that was named, changed or lifted. The caller holds g.mu.
func (g *Gateway) applyLimitChange(c upstreamlimit.Change) {
	g.metrics.limitChanges.Inc()
	g.opts.Log.Info().Str("upstream", c.Upstream.ID).Int64("born", c.Upstream.Born).Str("service", c.Service).
		Float64("from", c.From).Float64("to", c.To).Str("told_by", c.Peer).Msg("limit of an upstream changed")
	g.wakeScheduler()
}

// observeLimits takes over the limits that another host knows, and its demand. The caller holds g.mu.
func (g *Gateway) observeLimits(b presence.Heartbeat) {
	if b.Host == g.opts.Host {
		if b.Incarnation == g.opts.Incarnation && b.Sequence >= g.heartbeatSeen {
			g.limits.ObserveOwn(b.Limits)
		}
		return
	}
	h := upstreamlimit.Heartbeat{Host: b.Host, Incarnation: b.Incarnation, Sequence: b.Sequence}
	for _, change := range g.limits.ObservePeer(h, b.Limits, g.storeClock(), time.Now()) {
		g.applyLimitChange(change)
	}
}

// limitsReport returns what the next heartbeat says of limits, and logs how this host used its shares since the last one.
// The caller holds g.mu.
func (g *Gateway) limitsReport(now time.Time) *upstreamlimit.Report {
	for _, u := range g.limits.Usage(now) {
		if waiting := g.waitingForLimit(u.Upstream, u.Service); u.Sent > 0 || waiting > 0 {
			g.opts.Log.Info().Str("upstream", u.Upstream.ID).Str("service", u.Service).Float64("limit", u.Limit).
				Float64("share", u.Share).Int("sent", u.Sent).Float64("waiting", waiting).Msg("limit of an upstream used")
		}
	}
	if g.clockAt.IsZero() {
		return nil // without the store's clock the ages of limits cannot be told
	}
	return g.limits.Report(g.waitingForLimit, g.storeClock(), now)
}

// waitingForLimit returns how many items and score calls wait that an upstream could serve; each counts in equal parts for
// all upstreams that could serve it. The caller holds g.mu.
func (g *Gateway) waitingForLimit(i upstreams.Incarnation, service string) float64 {
	waiting := g.itemsWaiting[i.ID]
	if q, ok := g.limitQueues[service]; ok {
		waiting += float64(q.background()) / float64(max(len(g.upstreams.Ready(service)), 1))
	}
	return waiting
}

// wantAny counts a request as demand for the upstreams that could serve it. The caller holds g.mu.
func (g *Gateway) wantAny(scope sendScope, background bool, now time.Time) {
	if g.limits.Len() == 0 {
		return
	}
	ready := g.candidates(scope)
	for _, u := range ready {
		g.limits.Want(u, 1/float64(len(ready)), background, now)
	}
}
