package gateway

import (
	"net/http"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
)

// authorization is the route and the workspace of a request, with the configuration they were looked up in.
type authorization struct {
	config *serving.Config
	route  *serving.Route
	// workspace is nil on a route that needs no key.
	workspace *serving.Workspace
}

// workspaceName returns "" for a request without a workspace.
func (a *authorization) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}

// requestHomes returns the regions in which a request may be served: those of its route and of its workspace bind together,
// as the current configuration has them. A request may wait, be repeated or resume its stream after a change. A route or
// workspace that is gone binds as it did when the request arrived. The caller holds g.mu.
func (g *Gateway) requestHomes(host, path string, a *authorization) homes.Regions {
	route := a.route
	if found, ok := g.config.Route(host, path); ok {
		route = found
	}
	if a.workspace == nil {
		return route.Homes
	}
	workspace := a.workspace
	if found, ok := g.config.WorkspaceByName(workspace.Name); ok {
		workspace = found
	}
	return route.Homes.And(workspace.Homes)
}

// priority returns the priority of the workspace if it has one, and otherwise that of the route.
func (a *authorization) priority() int {
	if a.workspace != nil && a.workspace.HasPriority {
		return a.workspace.Priority
	}
	return a.route.Priority
}

// authorize looks up the route of a request and the workspace of its key.
func (g *Gateway) authorize(host, path, key string) (*authorization, error) {
	g.mu.Lock()
	config := g.config
	g.mu.Unlock()
	if config == nil {
		return nil, unavailable(outcome.KindIsolated, "the configuration has not been read yet", retryAfterStart)
	}
	route, ok := config.Route(host, path)
	if !ok {
		return nil, newRefusal(outcome.KindNotFound, http.StatusNotFound, "no route matches this host and path", "check the host and the path")
	}
	auth := &authorization{config: config, route: route}
	if !config.RequiresKey(route) {
		return auth, nil
	}
	if auth.workspace, ok = config.Workspace(key); !ok {
		return nil, unknownKey()
	}
	return auth, nil
}

// authorizeBatch looks up the workspace of a caller that asks about a batch job. The name is empty if the
// configuration has no keys. Whether the caller's host has a route does not matter here: a job outlives its route.
func (g *Gateway) authorizeBatch(key string) (config *serving.Config, workspace string, err error) {
	g.mu.Lock()
	config = g.config
	g.mu.Unlock()
	if config == nil {
		return nil, "", unavailable(outcome.KindIsolated, "the configuration has not been read yet", retryAfterStart)
	}
	if !config.HasWorkspaces() {
		return config, "", nil
	}
	w, ok := config.Workspace(key)
	if !ok {
		return nil, "", unknownKey()
	}
	return config, w.Name, nil
}

func unknownKey() error {
	return newRefusal(outcome.KindUnauthorized, http.StatusUnauthorized, "the API key is missing or not valid", "send a valid API key")
}
