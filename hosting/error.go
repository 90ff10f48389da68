package hosting

import (
	"errors"
	"fmt"
)

// ErrorKind classifies a failure of a platform call by what the caller may do next.
type ErrorKind string

const (
	// KindUnavailable means that the call had no effect and may be repeated later.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that the call may have taken effect; look the result up before repeating it.
	KindUnknown ErrorKind = "unknown"
	// KindNotFound means that the named object, row or order does not exist.
	KindNotFound ErrorKind = "not_found"
	// KindConflict means that the platform has stored different content under the same ID.
	KindConflict ErrorKind = "conflict"
	// KindFenced means that the platform has seen a higher term than the one sent.
	KindFenced ErrorKind = "fenced"
	// KindInvalid means that the request was malformed or exceeded a limit.
	KindInvalid ErrorKind = "invalid"
	// KindLimited means that the platform refused the call because of a rate limit; the call had no effect.
	KindLimited ErrorKind = "limited"
	// KindExpired means that the requested history is no longer available.
	KindExpired ErrorKind = "expired"
)

// Error is a failed platform call.
type Error struct {
	Kind ErrorKind
	// Op is the name of the call, for example "table commit".
	Op string
	// Remedy is advice to the reader of the message; it may be empty.
	Remedy string
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("platform %s: %s", e.Op, e.Kind)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	if e.Remedy != "" {
		msg += "; " + e.Remedy
	}
	return msg
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is, or wraps, an Error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
