package gateway

import (
	"slices"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/upstreams"
)

// sendScope holds the constraints of a request on the upstreams that it may be sent to, whatever their load.
type sendScope struct {
	service string
	homes   homes.Regions
}

// candidates returns the upstreams to which a request may be sent. Every path that sends a request chooses among these.
// The caller holds g.mu and must not change the list.
func (g *Gateway) candidates(s sendScope) []upstreams.Entry {
	ready := g.upstreams.Ready(s.service)
	if !s.homes.Restricted() {
		return ready
	}
	return slices.DeleteFunc(slices.Clone(ready), func(u upstreams.Entry) bool { return !s.homes.Allows(g.region(u.DataCentre)) })
}
