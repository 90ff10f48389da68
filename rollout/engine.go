package rollout

import "slices"

// Engine is the weight state that an agent reports for its engine.
type Engine struct {
	Upstream string
	// WeightsURL is the base URL from which other engines can copy weights; empty if they cannot.
	WeightsURL string
	// Healthy is set for an engine that works and is not leaving; only such engines take part in a rollout.
	Healthy bool
	// Active is the version that the engine serves.
	Active int64
	// Staged are the versions that the engine has staged.
	Staged []int64
}

// hasWeights reports whether the engine holds the weights of version, so that other engines can copy them.
func (e Engine) hasWeights(version int64) bool {
	return e.Active == version || slices.Contains(e.Staged, version)
}

// isReady reports whether the engine serves version or a newer one, or can switch to version without loading it.
func (e Engine) isReady(version int64) bool {
	return e.Active >= version || e.hasWeights(version)
}
