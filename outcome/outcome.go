// Package outcome describes whether a request was executed, and the refusals sent for requests that are not served.
package outcome

import "fmt"

// Outcome says whether a request ran on an upstream.
type Outcome int

const (
	// MayHaveRun is the zero value, because a missing response does not show whether the request ran.
	MayHaveRun Outcome = iota
	// NotRun is set only by the process that knows it: the one that did not send the request, or the agent that did not
	// forward it.
	NotRun
	// Ran means that the upstream responded.
	Ran
)

const (
	textMayHaveRun = "may-have-run"
	textNotRun     = "not-run"
	textRan        = "ran"
)

// String returns the wire form of o.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return textNotRun
	case Ran:
		return textRan
	default:
		return textMayHaveRun
	}
}

// Parse parses the wire form. The empty string is MayHaveRun.
func Parse(s string) (Outcome, error) {
	switch s {
	case textNotRun:
		return NotRun, nil
	case textRan:
		return Ran, nil
	case textMayHaveRun, "":
		return MayHaveRun, nil
	default:
		return MayHaveRun, fmt.Errorf("outcome %q is unknown; expected %s, %s or %s", s, textNotRun, textMayHaveRun, textRan)
	}
}
