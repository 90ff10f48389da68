package operatorclient

import (
	"fmt"
	"strings"
)

// ErrorKind classifies a refused operation.
type ErrorKind string

// Kinds of refused operations.
const (
	KindInvalid      ErrorKind = "invalid"
	KindUnauthorized ErrorKind = "unauthorized"
	KindNotFound     ErrorKind = "not_found"
	KindConflict     ErrorKind = "conflict"
	KindUnavailable  ErrorKind = "unavailable"
	// KindUnknown means that the change may have been accepted.
	KindUnknown ErrorKind = "unknown"
)

// ValidationError is one invalid field of a configuration object.
type ValidationError struct {
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Error is the body of every answer that is not a success.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy,omitempty"`
	// Current is the present object on a conflict, when there is one.
	Current *Object `json:"current,omitempty"`
	// ValidationErrors lists everything that is wrong with an invalid object.
	ValidationErrors []ValidationError `json:"faults,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Kind, e.Message)
	if e.Remedy != "" {
		b.WriteString("; " + e.Remedy)
	}
	for _, f := range e.ValidationErrors {
		b.WriteString("\n  ")
		if f.Field != "" {
			b.WriteString(f.Field + ": ")
		}
		fmt.Fprintf(&b, "%s; %s", f.Problem, f.Remedy)
	}
	if e.Current != nil {
		fmt.Fprintf(&b, "\n  current value at revision %d: %s", e.Current.Revision, e.Current.Value)
	}
	return b.String()
}
