package membership

// Status is the liveness of a process as seen by this entry.
type Status int

const (
	// Candidate processes are in the host list or the configuration but have not reported.
	Candidate Status = iota
	// Live processes have reported recently.
	Live
	// Suspect processes have missed heartbeats, but not enough to be dead.
	Suspect
	// Leaving processes have reported that they accept no new work.
	Leaving
	// Dead processes have not reported for too long or have refused a connection.
	Dead
)

// String implements fmt.Stringer.
func (s Status) String() string {
	switch s {
	case Candidate:
		return "candidate"
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}
