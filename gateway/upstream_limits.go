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

// ColdBound returns what the cold upstreams of a service take; nothing before a configuration has been read.
func (v limitView) ColdBound(service string) upstreamlimit.ColdBound {
	if v.g.config == nil {
		return upstreamlimit.ColdBound{}
	}
	s, ok := v.g.config.Services[service]
	if !ok {
		return upstreamlimit.ColdBound{}
	}
	return upstreamlimit.ColdBound{
		PerSecond: s.ColdRequests, Lasts: s.ColdTime,
		Overrun: v.g.opts.Timing.ColdOverrun, Slack: v.g.opts.Timing.ColdSlack,
	}
}

// ReadyCount returns how many upstreams of a service accept work.
func (v limitView) ReadyCount(service string) int { return len(v.g.upstreams.Ready(service)) }

// applyLimitChange logs and counts a limit that was named, changed or lifted. The caller holds g.mu.
func (g *Gateway) applyLimitChange(c upstreamlimit.Change) {
	message := "limit of an upstream changed"
	if c.Cold > 0 {
		message = "upstream is cold"
		g.metrics.upstreamsCold.Inc()
	} else {
		g.metrics.limitChanges.Inc()
	}
	g.opts.Log.Info().Str("upstream", c.Upstream.ID).Int64("born", c.Upstream.Born).Str("service", c.Service).
		Dur("cold_for_ms", c.Cold).Float64("from", c.From).Float64("to", c.To).Str("told_by", c.Peer).Msg(message)
	g.wakeScheduler()
}

// observeLimits takes over the limits that another host knows, and its demand. The caller holds g.mu.
func (g *Gateway) observeLimits(b presence.Heartbeat) {
	if b.Host == g.opts.Host {
		if b.Incarnation == g.opts.Incarnation && b.Sequence >= g.heartbeatSeen {
			g.limits.ObserveOwn(b.Limits, g.takeHeartbeatTime(b.Sequence), time.Now())
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
		if u.Cold {
			g.metrics.coldRequests.Add(u.Sent)
		}
		if waiting := g.waitingForLimit(u.Upstream, u.Service); u.Sent > 0 || waiting > 0 {
			g.opts.Log.Info().Str("upstream", u.Upstream.ID).Str("service", u.Service).Float64("limit", u.Limit).Bool("cold", u.Cold).
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
	if i == (upstreams.Incarnation{}) {
		return g.waitingForService(service)
	}
	waiting := g.itemsWaiting[i.ID]
	if q, ok := g.limitQueues[service]; ok {
		waiting += float64(q.background()) / float64(max(len(g.upstreams.Ready(service)), 1))
	}
	return waiting
}

// waitingForService returns how many items and score calls wait for any upstream of a service. The caller holds g.mu.
func (g *Gateway) waitingForService(service string) float64 {
	waiting := 0.0
	for _, u := range g.upstreams.Ready(service) {
		waiting += g.itemsWaiting[u.ID]
	}
	if q, ok := g.limitQueues[service]; ok {
		waiting += float64(q.background())
	}
	return waiting
}

// observeCold records for how long an upstream is still cold. The caller holds g.mu.
func (g *Gateway) observeCold(u upstreams.Entry, left time.Duration) {
	if change, changed := g.limits.ObserveCold(u, left, time.Now()); changed {
		g.applyLimitChange(change)
	}
}

// observeUnreachable records that an upstream could not be reached. The caller holds g.mu.
func (g *Gateway) observeUnreachable(u upstreams.Entry) {
	if change, changed := g.limits.ObserveUnreachable(u, time.Now()); changed {
		g.applyLimitChange(change)
	}
}

// wantAny counts a request as demand for the upstreams that could serve it. The caller holds g.mu.
func (g *Gateway) wantAny(scope sendScope, background bool, now time.Time) {
	g.limits.WantService(scope.service, background, now)
	if g.limits.Len() == 0 {
		return
	}
	ready := g.candidates(scope)
	for _, u := range ready {
		g.limits.Want(u, 1/float64(len(ready)), background, now)
	}
}
