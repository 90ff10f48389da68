package upstreamcall

import (
	"errors"
	"fmt"

	"github.com/radishshelf/radishshelf/outcome"
)

// Reason says why a call failed.
type Reason string

// Reasons of failed calls.
const (
	// Busy upstreams have no room, or load weights.
	Busy Reason = "busy"
	// Misdirected means that another upstream has the address.
	Misdirected Reason = "misdirected"
	// Unreachable means that no connection could be opened.
	Unreachable Reason = "unreachable"
	// NoListener means that the upstream's host refused the connection: no process has the address.
	NoListener Reason = "no_listener"
	// Broken means that the connection ended without a whole answer.
	Broken Reason = "broken"
	// Stale means that a kept connection was closed before any answer; it says nothing about the upstream.
	Stale Reason = "stale"
	// Crossed means that the answer belongs to another request or is no answer at all.
	Crossed Reason = "crossed"
	// Silent means that nothing arrived in time.
	Silent Reason = "silent"
	// Cancelled means that the sender gave up.
	Cancelled Reason = "cancelled"
	// Moved means that the sender ended the call to go on at a faster upstream.
	Moved Reason = "moved"
	// OldVersion means that the upstream serves weights that are too old.
	OldVersion Reason = "old_version"
	// Endless means that the answer is larger than what its request can yield, or than there is memory for.
	Endless Reason = "endless"
	// Failed means that the upstream ran the request and answered that it failed.
	Failed Reason = "failed"
	// Impossible means that the upstream answered that the request can never be done.
	Impossible Reason = "impossible"
)

// Failure is a call without a usable answer.
type Failure struct {
	Reason  Reason
	Outcome outcome.Outcome
	Err     error
}

// Error implements error.
func (f *Failure) Error() string {
	msg := fmt.Sprintf("upstream call: %s (%s)", f.Reason, f.Outcome)
	if f.Err != nil {
		msg += ": " + f.Err.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// AsFailure returns the Failure that err is or wraps; another error becomes one of which nothing is known.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Reason: Broken, Outcome: outcome.MayHaveRun, Err: err}
}
