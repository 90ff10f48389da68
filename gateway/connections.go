package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/upstreamhealth"
	"github.com/radishshelf/radishshelf/upstreams"
)

// idleConnectionTTL is how long an idle connection is assumed to stay open. Upstreams close idle connections after
// timeouts of their own.
const idleConnectionTTL = 6 * time.Second

// connectionState is what this process assumes about its connections to an upstream.
type connectionState struct {
	// count is the maximum of requests in flight at once since the connections were last idle for idleConnectionTTL.
	count  int
	usedAt time.Time
}

// reservedSlot is a request that was counted at an upstream, until release.
type reservedSlot struct {
	upstream upstreams.Entry
	attempt  *upstreamhealth.Attempt
}

// acquire counts a request that is about to be sent to an upstream, also against the upstream's limit. Every request of a
// caller or a job passes through here. The caller holds g.mu.
func (g *Gateway) acquire(u upstreams.Entry, now time.Time) reservedSlot {
	id := u.ID
	g.limits.Sent(u, now)
	load := g.loadOf(u.Service)
	load.times.Sent(id, now)
	load.spread.Add(id)
	g.inFlight[id]++
	c := g.connections[id]
	if now.Sub(c.usedAt) > idleConnectionTTL {
		c.count = 0
	}
	c.count = max(c.count, g.inFlight[id])
	c.usedAt = now
	g.connections[id] = c
	return reservedSlot{upstream: u, attempt: g.healthOf(id).Begin()}
}

// release counts the end of a request. The caller holds g.mu.
func (g *Gateway) release(s reservedSlot, now time.Time) {
	s.attempt.End()
	id := s.upstream.ID
	g.inFlight[id]--
	if g.inFlight[id] <= 0 {
		delete(g.inFlight, id)
	}
	c := g.connections[id]
	c.usedAt = now
	g.connections[id] = c
}

// openConnections estimates how many connections to an upstream are open, including those in use. The caller holds
// g.mu.
func (g *Gateway) openConnections(id string, now time.Time) int {
	c := g.connections[id]
	if now.Sub(c.usedAt) >= idleConnectionTTL {
		return g.inFlight[id]
	}
	return c.count
}

// hasIdleConnection reports whether one more request can probably reuse an open connection. The caller holds g.mu.
func (g *Gateway) hasIdleConnection(id string, now time.Time) bool {
	return g.inFlight[id] < g.openConnections(id, now)
}
