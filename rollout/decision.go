package rollout

import "github.com/radishshelf/radishshelf/fleetconfig"

// Reason says why a rollout moved on.
type Reason string

// Reasons of a Decision.
const (
	ReasonPublished Reason = "version_published"
	ReasonAllStaged Reason = "all_staged"
	ReasonTimeout   Reason = "stage_timeout"
	// ReasonStragglers is an activation without engines that took much longer than most.
	ReasonStragglers Reason = "stragglers_left"
)

// Decision is the next rollout of a policy.
type Decision struct {
	Rollout fleetconfig.Rollout
	Reason  Reason
	// Ready engines out of Total had the version when it was activated.
	Ready, Total int
}
