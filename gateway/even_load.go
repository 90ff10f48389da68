package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/evenload"
)

// peerLoadTTL is how long the expected load of the other hosts is kept before their newest heartbeats are added up again.
// It is a fraction of the time between two heartbeats and spares a sum for each request.
const peerLoadTTL = 50 * time.Millisecond

// serviceLoad is what this process knows of the load of a service.
type serviceLoad struct {
	times *evenload.ResponseTimes
	// peers was summed up at peersAt.
	peers   *evenload.PeerLoad
	peersAt time.Time
	// spread counts the requests of this process since the last report on it.
	spread evenload.Spread
}

// loadOf returns what is known of the load of a service. The caller holds g.mu.
func (g *Gateway) loadOf(service string) *serviceLoad {
	l, ok := g.serviceLoads[service]
	if !ok {
		l = &serviceLoad{times: evenload.NewResponseTimes(), peers: evenload.NewPeerLoad(nil, nil, 0, time.Time{})}
		g.serviceLoads[service] = l
	}
	return l
}

// responseTimesOf returns the response times of the upstreams of a service. The caller holds g.mu.
func (g *Gateway) responseTimesOf(service string) *evenload.ResponseTimes {
	return g.loadOf(service).times
}

// expectedPeerLoad returns the expected load by the other live processes at the upstreams of a service. The caller holds
// g.mu.
func (g *Gateway) expectedPeerLoad(service string, now time.Time) *evenload.PeerLoad {
	l := g.loadOf(service)
	if now.Sub(l.peersAt) < peerLoadTTL {
		return l.peers
	}
	var reports []evenload.Report
	for _, peer := range g.peers.Live() {
		if peer.Host != g.opts.Host {
			reports = append(reports, evenload.Report{HeardAt: g.peers.HeardAt(peer.Host), Requests: peer.Load})
		}
	}
	l.times.Retain(func(id string) bool { _, ok := g.upstreams.Get(id); return ok })
	l.peers, l.peersAt = evenload.NewPeerLoad(reports, g.readyIDs(service), l.times.Lifetime(), now), now
	return l.peers
}

// readyIDs returns the IDs of the ready upstreams of a service. The caller holds g.mu.
func (g *Gateway) readyIDs(service string) []string {
	ready := g.upstreams.Ready(service)
	ids := make([]string, 0, len(ready))
	for _, e := range ready {
		ids = append(ids, e.ID)
	}
	return ids
}
