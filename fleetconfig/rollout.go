package fleetconfig

// Phases of a weight rollout.
const (
	PhaseStage    = "stage"
	PhaseActivate = "activate"
)

// Rollout is the wanted weight version of one policy. The object's name is the policy.
type Rollout struct {
	Version int64 `json:"version"`
	// Phase is PhaseStage or PhaseActivate.
	Phase string `json:"phase"`
	// Previous is the version that serves while the new one is staged.
	Previous int64 `json:"previous"`
	// Term is the fencing number of the rollout role at the write.
	Term int64 `json:"term"`
}
