package gateway

import (
	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/homes"
)

// jobHomes returns the regions in which the texts of a job may be made: those of its route and of its workspace bind
// together. A route or a workspace that is gone binds as it did when the job was accepted, and so do both as long as this
// process has not read that configuration: it learns of a job and of its route by separate watches. The caller holds g.mu.
func (g *Gateway) jobHomes(r *batch.Record) homes.Regions {
	route, workspace := r.RouteHomes, r.WorkspaceHomes
	if g.config != nil && g.config.Version >= r.ConfigVersion {
		if found, ok := g.config.Route(r.Host, r.PathPrefix); ok {
			route = found.Homes
		}
		if found, ok := g.config.WorkspaceByName(r.Workspace); ok {
			workspace = found.Homes
		}
	}
	return route.And(workspace)
}

// jobScope returns the constraints on the upstreams of a job's texts. The caller holds g.mu.
func (g *Gateway) jobScope(r *batch.Record, service string) sendScope {
	return sendScope{service: service, homes: g.jobHomes(r)}
}

// jobHosts returns the regions whose hosts may run a job and keep its content: its homes, and the region of the host to
// which its caller handed it. The caller holds g.mu.
func (g *Gateway) jobHosts(r *batch.Record) homes.Regions { return g.jobHomes(r).With(r.AcceptedIn) }

// mayKeepJob reports whether this process may read and run the content of a job. The caller holds g.mu.
func (g *Gateway) mayKeepJob(r *batch.Record) bool { return g.jobHosts(r).Allows(g.ownRegion()) }

// ownRegion returns the region of this process.
func (g *Gateway) ownRegion() string { return g.region(g.opts.DataCentre) }
