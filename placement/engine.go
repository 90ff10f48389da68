package placement

import (
	"slices"
	"time"
)

// Distance says how far an engine is from the host that sends to it.
type Distance int

// Distances, the nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Engine is an upstream as the host that sends to it sees it.
type Engine struct {
	ID string
	// Slots is how many requests run there at the same time.
	Slots int
	// OwnRequests and OtherRequests are the requests in flight there of this host, and of all others by their last reports.
	OwnRequests, OtherRequests int
	// Connections is how many connections this host keeps to it, those in use included.
	Connections int
	Distance    Distance
	// Version is the weight version that it serves of the wanted model.
	Version int64
	// Pace is the time for one event as observed lately; 0 when nothing was observed.
	Pace time.Duration
	// LastPace is the last observed pace, however old.
	LastPace time.Duration
	// MemoryTokens is how many tokens the requests there may hold together; 0 when it is not known.
	MemoryTokens int
	// Runs are the texts of this host that it makes, and OthersTokens what those of other hosts hold.
	Runs        []Run
	OtherTokens int
	// Excluded engines take nothing now: they failed, or refused for lack of room.
	Excluded bool
}

// minAvailableSlots is the number of requests that a host may send to an engine however full the others report it to be: their
// reports are up to a second old.
const minAvailableSlots = 2

// availableSlots is how many requests this host may have in flight at the engine.
func (e *Engine) availableSlots() int {
	return max(e.Slots-e.OtherRequests, min(minAvailableSlots, e.Slots))
}

// memoryUseWith returns the part of the engine's memory that is in use at the peak if it takes one more text; 0 when the size
// of the memory is not known.
func (e *Engine) memoryUseWith(r Run) float64 {
	if e.MemoryTokens == 0 {
		return 0
	}
	return float64(e.OtherTokens+peakMemory(append(slices.Clip(e.Runs), r))) / float64(e.MemoryTokens)
}
