package routing

// Filter keeps the candidates that may run a request.
type Filter interface {
	// Name is the value of RemovedCount.Filter and the key in the log line.
	Name() string
	// Keep reports whether the candidate may run the request.
	Keep(req *Request, c *Candidate) bool
}

// Filters returns all filters in the order in which they run.
func Filters(inflight *InFlight) []Filter {
	return []Filter{
		AliveFilter{},
		LeavingFilter{},
		ServesFilter{},
		VersionFilter{},
		HealthFilter{},
		ExcludedFilter{},
		ExclusiveFilter{InFlight: inflight},
	}
}
