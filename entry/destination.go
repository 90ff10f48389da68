package entry

import (
	"slices"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// destination is where a request goes and what it may do there.
type destination struct {
	// kind is fleetconfig.UpstreamEngine or fleetconfig.UpstreamService.
	kind string
	// serves is the policy or the service that the upstream must serve.
	serves string
	// name is the policy or the route for logs and permissions.
	name       string
	open       bool
	idempotent bool
	trainer    string
}

func policyDestination(name string, policy fleetconfig.Policy) destination {
	return destination{
		kind: fleetconfig.UpstreamEngine, serves: name, name: name, open: policy.Open, idempotent: true,
		trainer: policy.Trainer,
	}
}

func routeDestination(name string, route fleetconfig.Route) destination {
	return destination{
		kind: fleetconfig.UpstreamService, serves: route.Service, name: name, open: route.Open, idempotent: route.Idempotent,
	}
}

// authorize checks that the caller may use the destination.
func (d destination) authorize(id identity, view *fleetconfig.View) *outcome.Refusal {
	if d.open {
		return nil
	}
	if id.refusal != nil {
		return id.refusal
	}
	workspace, _ := view.Workspace(id.workspace)
	allowed := workspace.Routes
	if d.kind == fleetconfig.UpstreamEngine {
		allowed = workspace.Policies
	}
	if len(allowed) > 0 && !slices.Contains(allowed, d.name) {
		// The same answer as for an unknown name, so that a key does not reveal what others use.
		return destinationNotFound("name")
	}
	return nil
}
