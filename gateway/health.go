package gateway

import "github.com/radishshelf/radishshelf/upstreamhealth"

// recordResponding records that an upstream has begun to respond to a request.
func (g *Gateway) recordResponding(attempt *upstreamhealth.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt.Responding()
}

// failingUpstreams returns the number of upstreams at which no request was complete since one failed.
func (g *Gateway) failingUpstreams() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for id, h := range g.health {
		if _, known := g.upstreams.Get(id); known && h.Suspect() {
			n++
		}
	}
	return n
}
