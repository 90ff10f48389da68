package membership

// Status is the view of one process at one time.
type Status int

const (
	// Candidate processes are named by the host list or the configuration and have not reported.
	Candidate Status = iota
	// Live processes reported within one missed beat.
	Live
	// Suspect processes missed beats, but fewer than the limit.
	Suspect
	// Leaving processes said that they take no new work.
	Leaving
	// Dead processes missed too many beats or refused a connection.
	Dead
)

// String returns the name of s.
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
