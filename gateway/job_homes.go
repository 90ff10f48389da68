package gateway

import (
	"context"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/rowrelay"
	"github.com/radishshelf/radishshelf/serving"
)

// jobHomes returns the regions in which the texts of a job may be made: those of its route and of its workspace bind
// together. A route or a workspace that is gone binds as it did when the job was accepted, and so do both as long as this
// process has not read that configuration: it learns of a job and of its route by separate watches. The caller holds g.mu.
func (g *Gateway) jobHomes(r *batch.Record) homes.Regions {
	route, workspace := r.RouteHomes, r.WorkspaceHomes
	if g.config != nil && g.config.Version >= r.ConfigVersion {
		if found, ok := g.config.Route(r.Host, r.PathPrefix); ok && found.Kind == serving.Rollout {
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

// keptIn returns a context whose store calls for a job's content, results and texts are relayed only by hosts that may
// keep the job.
func (g *Gateway) keptIn(ctx context.Context, e *jobEntry) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rowrelay.WithRegions(ctx, g.jobHosts(&e.record))
}

// acceptedIn is keptIn for a job that is not stored yet.
func (g *Gateway) acceptedIn(ctx context.Context, r *batch.Record) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rowrelay.WithRegions(ctx, g.jobHosts(r))
}

// servedFrom is keptIn for what a caller asks of this host: hosts in its region may relay it, too.
func (g *Gateway) servedFrom(ctx context.Context, e *jobEntry) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return rowrelay.WithRegions(ctx, g.jobHosts(&e.record).With(g.ownRegion()))
}

// ownRegion returns the region of this process.
func (g *Gateway) ownRegion() string { return g.region(g.opts.DataCentre) }
