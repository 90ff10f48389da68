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
	if !s.homes.Restricted() && !g.evacuations.Any() {
		return ready
	}
	return slices.DeleteFunc(slices.Clone(ready), func(u upstreams.Entry) bool {
		return !g.isAtHome(s, u) || g.evacuations.Evacuated(u.DataCentre)
	})
}

// isAtHome reports whether an upstream is in a region in which a request may be served.
func (g *Gateway) isAtHome(s sendScope, u upstreams.Entry) bool {
	return s.homes.Allows(g.region(u.DataCentre))
}

// refusalIn returns the refusal of a request for which no upstream was found, with the constraint that leaves it none. The
// caller holds g.mu.
func (g *Gateway) refusalIn(s sendScope) *outcome.Refusal {
	if len(g.upstreams.Ready(s.service)) == 0 || len(g.candidates(s)) > 0 {
		return noUpstream()
	}
	return g.refuseFor(s)
}

// refuseFor returns the refusal of work that the constraints of its scope leave no upstream, and counts it. The caller holds
// g.mu.
func (g *Gateway) refuseFor(s sendScope) *outcome.Refusal {
	if slices.ContainsFunc(g.upstreams.Ready(s.service), func(u upstreams.Entry) bool { return g.isAtHome(s, u) }) {
		g.metrics.scopeRefusals("evacuation").Inc()
		return unavailable(outcome.KindEvacuated, "every data centre with an upstream for the request is evacuated", retryAfterScope)
	}
	g.metrics.scopeRefusals("homes").Inc()
	return unavailable(outcome.KindNoHome, "the regions of the request have no upstream of the service", retryAfterScope)
}

// checkJobScope returns a refusal if homes or evacuations leave the texts of a job no upstream. A job that may run anywhere
// waits for upstreams if there are none at all. The caller holds g.mu.
func (g *Gateway) checkJobScope(r *batch.Record, route *serving.Route) error {
	var refused *sendScope
	for _, target := range route.Targets {
		scope := g.jobScope(r, target.Service)
		if len(g.candidates(scope)) > 0 || !scope.homes.Restricted() && len(g.upstreams.Ready(target.Service)) == 0 {
			return nil
		}
		refused = &scope
	}
	if refused == nil {
		return nil
	}
	return g.refuseFor(*refused)
}

// scope returns the constraints of the request on its upstreams. The caller holds g.mu.
func (f *plainRequest) scope() sendScope {
	return sendScope{service: f.service, homes: f.g.requestHomes(f.request.Host, f.request.Path, f.auth)}
}

// setService picks the service of the request.
func (f *plainRequest) setService() error {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	var ok bool
	if f.service, ok = f.g.chooseService(f.auth.route, f.scope().homes); !ok {
		return unavailable(outcome.KindNoUpstream, "the route has no target service", retryAfterStoreOutage)
	}
	return nil
}
