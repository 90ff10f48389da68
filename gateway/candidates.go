package gateway

import (
	"slices"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
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

// refusalIn returns the refusal of a request for which no upstream was found, with the constraint that leaves it none. The
// caller holds g.mu.
func (g *Gateway) refusalIn(s sendScope) *outcome.Refusal {
	if len(g.upstreams.Ready(s.service)) == 0 || len(g.candidates(s)) > 0 {
		return noUpstream()
	}
	return g.refuseFor(s)
}

// refuseFor returns the refusal of work that the constraints of its scope leave no upstream, and counts it.
func (g *Gateway) refuseFor(sendScope) *outcome.Refusal {
	g.metrics.scopeRefusals("homes").Inc()
	return unavailable(outcome.KindNoHome, "the regions of the request have no upstream of the service", retryAfterScope)
}

// checkJobScope returns a refusal if no upstream may make the texts of a restricted job. The caller holds g.mu.
func (g *Gateway) checkJobScope(r *batch.Record, route *serving.Route) error {
	var last sendScope
	for _, target := range route.Targets {
		last = g.jobScope(r, target.Service)
		if !last.homes.Restricted() || len(g.candidates(last)) > 0 {
			return nil
		}
	}
	if len(route.Targets) == 0 {
		return nil
	}
	return g.refuseFor(last)
}
