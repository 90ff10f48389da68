package serving

import (
	"cmp"
	"slices"
	"strings"
)

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// routes maps a host to its routes, longest prefix first.
	routes map[string][]*Route
	// workspaces maps an API key to its workspace. hasWorkspaces is false if the configuration contains no workspaces.
	workspaces    map[string]*Workspace
	hasWorkspaces bool
	// byName maps the name of each workspace to it, whether it has keys or not.
	byName map[string]*Workspace
}

// Builder holds the parts from which Build makes a Config, as they are written.
type Builder struct {
	Version    int64
	Limits     Limits
	Routes     []*Route
	Services   []*Service
	Workspaces []WorkspaceKeys
}

// WorkspaceKeys is a workspace with its API keys.
type WorkspaceKeys struct {
	Workspace Workspace
	Keys      []string
}

// Build returns the configuration.
func (b Builder) Build() *Config {
	c := &Config{
		Version: b.Version, Limits: b.Limits, Services: map[string]*Service{}, routes: map[string][]*Route{},
		workspaces: map[string]*Workspace{}, hasWorkspaces: len(b.Workspaces) > 0, byName: map[string]*Workspace{},
	}
	for _, s := range b.Services {
		c.Services[s.Name] = s
	}
	for _, r := range b.Routes {
		host := NormalizeHost(r.Host)
		c.routes[host] = append(c.routes[host], r.normalized())
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range b.Workspaces {
		c.byName[b.Workspaces[i].Workspace.Name] = &b.Workspaces[i].Workspace
		for _, key := range b.Workspaces[i].Keys {
			c.workspaces[key] = &b.Workspaces[i].Workspace
		}
	}
	return c
}

// Route returns the route with the longest path prefix that matches the host and path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routes[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// HasHost reports whether there is any route for the host.
func (c *Config) HasHost(host string) bool { return len(c.routes[NormalizeHost(host)]) > 0 }

// Workspace returns the workspace that the API key belongs to.
func (c *Config) Workspace(key string) (*Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok && key != ""
}

// WorkspaceByName returns the workspace with a name. Work that was accepted earlier still belongs to a workspace that has
// lost its keys.
func (c *Config) WorkspaceByName(name string) (*Workspace, bool) {
	w, ok := c.byName[name]
	return w, ok
}

// RequiresKey reports whether requests to the route need an API key.
func (c *Config) RequiresKey(r *Route) bool { return c.hasWorkspaces && !r.Public }

// HasWorkspaces reports whether the configuration contains any workspaces. Without workspaces, no route requires a key.
func (c *Config) HasWorkspaces() bool { return c.hasWorkspaces }

// SingleVersion reports whether any route requires all events of a text to come from one weight version.
func (c *Config) SingleVersion() bool {
	for _, routes := range c.routes {
		for _, r := range routes {
			if r.SingleVersion {
				return true
			}
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, routes := range c.routes {
		n += len(routes)
	}
	return n
}

// NormalizeHost converts a host name to lower case and removes the port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
