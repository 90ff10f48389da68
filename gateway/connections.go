package gateway

import "time"

// keptFor is how long a connection that rests is counted on; upstreams close idle ones at times of their own.
const keptFor = 6 * time.Second

// kept is what this process knows about its connections to an upstream.
type kept struct {
	// count is the most requests that were in flight at once since the connections rested for long.
	count  int
	usedAt time.Time
}

// acquire counts a request that is about to be sent. The caller holds the lock.
func (g *Gateway) acquire(id string, now time.Time) {
	g.inFlight[id]++
	k := g.connections[id]
	if now.Sub(k.usedAt) > keptFor {
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

// keptConnections is how many connections to an upstream are open, those in use included. The caller holds the lock.
func (g *Gateway) keptConnections(id string, now time.Time) int {
	k := g.connections[id]
	if now.Sub(k.usedAt) >= keptFor {
		return g.inFlight[id]
	}
	return k.count
}

// isWarm reports whether one more request probably finds a kept connection. The caller holds the lock.
func (g *Gateway) isWarm(id string, now time.Time) bool {
	return g.inFlight[id] < g.keptConnections(id, now)
}
