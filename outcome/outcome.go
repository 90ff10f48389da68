// Package outcome says what is known about the execution of a request that did not end normally.
package outcome

import "fmt"

// Outcome tells whether a request ran at an upstream.
type Outcome int

const (
	// MayHaveRun is the zero value, because the absence of an answer proves nothing.
	MayHaveRun Outcome = iota
	// NotRun is stated only by a process that knows: the one that did not send, or the agent that did not forward.
	NotRun
	// Ran means that the upstream answered.
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

// Parse reads the wire form. The empty string is MayHaveRun.
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
