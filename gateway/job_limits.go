package gateway

import (
	"math"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/serving"
)

// noFailureLimit keeps an item from being abandoned while the limit of its route is not known.
const noFailureLimit = math.MaxInt

// setRouteLimits records the limits of the route under which a job is accepted.
func setRouteLimits(record *batch.Record, config *serving.Config, route *serving.Route) {
	record.ConfigVersion, record.MaxAttempts, record.SingleVersion = config.Version, route.MaxAttempts, route.SingleVersion
	record.RouteHomes = route.Homes
	if w, ok := config.WorkspaceByName(record.Workspace); ok {
		record.WorkspaceHomes = w.Homes
	}
}

// jobLimits returns the limits of a job: those of its route, or those with which it was accepted if this process has not
// read that configuration yet, or the route is gone. A process learns of a job and of its route by separate watches. The
// caller holds g.mu.
func (g *Gateway) jobLimits(r *batch.Record) (maxFailures int, singleVersion bool) {
	if g.config != nil && g.config.Version >= r.ConfigVersion {
		if route, ok := g.config.Route(r.Host, r.PathPrefix); ok {
			return route.MaxAttempts, route.SingleVersion || r.SingleVersion
		}
	}
	if r.MaxAttempts == 0 { // the record has no limits: nothing is decided that could be wrong
		return noFailureLimit, true
	}
	return r.MaxAttempts, r.SingleVersion
}

// updateJobLimits applies a new configuration to the owned jobs. The caller holds g.mu.
func (g *Gateway) updateJobLimits() {
	for _, e := range g.jobs {
		if e.owned != nil {
			limits := &e.owned.job.Limits
			limits.MaxFailures, limits.SingleVersion = g.jobLimits(&e.record)
		}
	}
}
