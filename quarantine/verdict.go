package quarantine

import "time"

// Action says how a request may run.
type Action int

// Actions in order of severity.
const (
	// Run has no restriction.
	Run Action = iota
	// RunAlone allows the request only on an upstream that runs nothing else.
	RunAlone
	// Refuse rejects the request for Verdict.Remaining.
	Refuse
	// Probe allows the request to one process of all, which has to announce the run before it begins.
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

// Verdict is the answer to Check.
type Verdict struct {
	Action Action
	Deaths int
	// Remaining is the time until the restriction ends.
	Remaining time.Duration
}

// Suspect is a restricted fingerprint as it is exchanged between processes.
type Suspect struct {
	Fingerprint string
	Deaths      int
	// Remaining is relative, because the clocks of two hosts are not compared.
	Remaining time.Duration
	// Sources holds the upstreams that died, as far as the sender knows them.
	Sources []Source
}

// Source counts the deaths of one upstream under a request.
type Source struct {
	UpstreamIncarnation
	Deaths int
}
