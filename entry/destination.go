package entry

import (
	"slices"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// destination is the policy or service that a request is routed to, with its access rules.
type destination struct {
	// kind is the upstream kind: fleetconfig.UpstreamEngine or fleetconfig.UpstreamService.
	kind string
	// serves is the policy or the service that the upstream must serve.
	serves string
	// name is the name of the policy or route, for logs and permission checks.
	name string
	// open allows requests without a key.
	open       bool
	idempotent bool
	// trainer is the trainer of a policy, or empty.
	trainer string
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
		// This is the same response as for an unknown name, so that a key does not reveal which names exist.
		return destinationNotFound("name")
	}
	return nil
}
