package routing

// Filters returns all filters in the order in which they run.
func Filters(inflight *InFlight) []Filter[Request, Candidate] {
	return []Filter[Request, Candidate]{
		AliveFilter{},
		LeavingFilter{},
		ServesFilter{},
		VersionFilter{},
		HealthFilter{},
		ExcludedFilter{},
		ExclusiveFilter{InFlight: inflight},
	}
}
