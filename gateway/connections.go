package gateway

import "time"

// idleConnectionTTL is how long a connection that rests is counted on; upstreams close idle ones at times of their own.
const idleConnectionTTL = 6 * time.Second

// connectionState is what this process knows about its connections to an upstream.
type connectionState struct {
	// count is the most requests that were in flight at once since the connections rested for long.
	count  int
	usedAt time.Time
}

// acquire counts a request that is about to be sent. The caller holds the lock.
func (g *Gateway) acquire(id string, now time.Time) {
	g.inFlight[id]++
	k := g.connections[id]
	if now.Sub(k.usedAt) > idleConnectionTTL {
		k.count = 0
	}
	k.count = max(k.count, g.inFlight[id])
	k.usedAt = now
	g.connections[id] = k
}

// release counts the end of a request. The caller holds the lock.
func (g *Gateway) release(id string, now time.Time) {
	g.inFlight[id]--
	if g.inFlight[id] <= 0 {
		delete(g.inFlight, id)
	}
	k := g.connections[id]
	k.usedAt = now
	g.connections[id] = k
}

// openConnections is how many connections to an upstream are open, those in use included. The caller holds the lock.
func (g *Gateway) openConnections(id string, now time.Time) int {
	k := g.connections[id]
	if now.Sub(k.usedAt) >= idleConnectionTTL {
		return g.inFlight[id]
	}
	return k.count
}

// hasIdleConnection reports whether one more request probably finds a kept connection. The caller holds the lock.
func (g *Gateway) hasIdleConnection(id string, now time.Time) bool {
	return g.inFlight[id] < g.openConnections(id, now)
}
