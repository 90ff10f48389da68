package rollout

import "github.com/radishshelf/radishshelf/fleetconfig"

// Reason is why a rollout was advanced.
type Reason string

// Reasons of a Decision.
const (
	ReasonPublished Reason = "version_published"
	ReasonAllStaged Reason = "all_staged"
	ReasonTimeout   Reason = "stage_timeout"
	// ReasonStragglers means that the version was activated without engines that took much longer than the others.
	ReasonStragglers Reason = "stragglers_left"
)

// Decision is the next rollout of a policy.
type Decision struct {
	Rollout fleetconfig.Rollout
	Reason  Reason
	// Ready is how many of the Total healthy engines had the version when it was activated; both are 0 for a new
	// staging.
	Ready, Total int
}
