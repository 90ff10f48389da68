package fleetconfig

// Phases of a weight rollout.
const (
	PhaseStage    = "stage"
	PhaseActivate = "activate"
)

// Rollout is the target weight version of one policy. The name of the object is the name of the policy.
type Rollout struct {
	Version int64 `json:"version"`
	// Phase is PhaseStage or PhaseActivate.
	Phase string `json:"phase"`
	// Previous is the version that engines serve while Version is being staged.
	Previous int64 `json:"previous"`
	// Term is the fencing term of the rollout role under which the object was written.
	Term int64 `json:"term"`
}
