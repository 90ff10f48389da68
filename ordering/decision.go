package ordering

// Decision is a count of upstreams to order for a pool.
type Decision struct {
	Pool Pool
	// Count is the total wanted; Previous is what was ordered before.
	Count, Previous int
	// Demand is the smoothed number of busy slots that led to Count.
	Demand float64
}
