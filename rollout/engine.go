package rollout

import "slices"

// Engine is what an agent reports about its engine's weights.
type Engine struct {
	Upstream string
	// WeightsURL is the base URL from which other engines may copy weights; empty when they may not.
	WeightsURL string
	// Healthy engines that are not leaving take part in a rollout.
	Healthy bool
	Active  int64
	Staged  []int64
}

// hasWeights reports whether other engines may copy version from the engine.
func (e Engine) hasWeights(version int64) bool {
	return e.Active == version || slices.Contains(e.Staged, version)
}

// isReady reports whether the engine can serve version without loading it.
func (e Engine) isReady(version int64) bool {
	return e.Active >= version || e.hasWeights(version)
}
