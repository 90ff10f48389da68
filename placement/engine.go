package placement

import (
	"slices"
	"time"
)

// Distance is the network distance between an engine and the host that sends to it.
type Distance int

// Distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Engine is the state of an engine as seen by the host that sends to it.
type Engine struct {
	ID string
	// Slots is how many requests the engine runs at the same time.
	Slots int
	// OwnRequests and OtherRequests are the requests in flight at the engine: those of this host, and those of all
	// other hosts according to their last reports.
	OwnRequests, OtherRequests int
	// Connections is how many connections this host keeps to the engine, including those in use.
	Connections int
	Distance    Distance
	// Version is the weight version of the requested model that the engine serves.
	Version int64
	// Pace is the recently observed time per event; 0 if nothing was observed recently.
	Pace time.Duration
	// LastPace is the last observed pace, regardless of its age, and PaceAge the time since that observation.
	LastPace, PaceAge time.Duration
	// MemoryTokens is how many tokens the requests at the engine can hold together; 0 if unknown.
	MemoryTokens int
	// Runs holds the texts of this host at the engine, and OtherTokens is how many tokens the texts of other hosts
	// hold.
	Runs        []Run
	OtherTokens int
	// Limited engines have named a limit on requests, of which this host may send SendsLeft more now.
	Limited   bool
	SendsLeft int
	// ProbesLeft is how many more texts may be sent after a failure; math.MaxInt if the engine is healthy.
	ProbesLeft int
	// Excluded engines take no text now, because they refused a request for lack of capacity.
	Excluded bool
}

// minAvailableSlots is the number of requests that a host may send to an engine even if the other hosts report it as
// full, because their reports are up to a second old.
const minAvailableSlots = 2

// availableSlots returns how many requests this host may have in flight at the engine.
func (e *Engine) availableSlots() int {
	return max(e.Slots-e.OtherRequests, min(minAvailableSlots, e.Slots))
}

// memoryUseWith returns the fraction of the engine's memory in use at the peak if it takes one more text; 0 if the size
// of the memory is unknown.
func (e *Engine) memoryUseWith(r Run) float64 {
	if e.MemoryTokens == 0 {
		return 0
	}
	return float64(e.OtherTokens+peakMemory(append(slices.Clip(e.Runs), r))) / float64(e.MemoryTokens)
}
