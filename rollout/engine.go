package rollout

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

// has reports whether the engine can serve version without loading it.
func (e Engine) has(version int64) bool {
	if e.Active >= version {
		return true
	}
	for _, v := range e.Staged {
		if v == version {
			return true
		}
	}
	return false
}
