package quarantine

import "time"

// Action is how a request may run.
type Action int

// Actions in order of severity.
const (
	// Run allows the request without restriction.
	Run Action = iota
	// RunAlone allows the request only on an upstream that runs nothing else.
	RunAlone
	// Refuse rejects the request for Decision.Remaining.
	Refuse
	// Probe allows one process to run the request once, after it has announced the run to the others.
	Probe
)

// String returns the form used in log lines.
func (a Action) String() string {
	switch a {
	case RunAlone:
		return "run-alone"
	case Refuse:
		return "refuse"
	case Probe:
		return "probe"
	default:
		return "run"
	}
}

// Decision is the result of Check.
type Decision struct {
	Action Action
	Deaths int
	// Remaining is the time until the restriction ends.
	Remaining time.Duration
}

// Suspect is a restricted fingerprint as it is exchanged between processes.
type Suspect struct {
	Fingerprint string
	Deaths      int
	// Remaining is a duration, because the clocks of two hosts are not compared.
	Remaining time.Duration
	// Sources lists the upstreams that died, as far as the sender knows them.
	Sources []Source
}

// Source is the number of deaths of one upstream incarnation under a request.
type Source struct {
	UpstreamIncarnation
	Deaths int
}
