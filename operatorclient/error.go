package operatorclient

import (
	"fmt"
	"strings"
)

// ErrorKind classifies a failed operation.
type ErrorKind string

// Kinds of failed operations.
const (
	KindInvalid      ErrorKind = "invalid"
	KindUnauthorized ErrorKind = "unauthorized"
	KindNotFound     ErrorKind = "not_found"
	KindConflict     ErrorKind = "conflict"
	KindUnavailable  ErrorKind = "unavailable"
	// KindUnknown means that the change may have been committed.
	KindUnknown ErrorKind = "unknown"
)

// ValidationError is one reason why a configuration object is invalid. Field is empty when the whole object is.
type ValidationError struct {
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Error is the body of every response that is not a success.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy,omitempty"`
	// Current is the current object on a conflict, when it exists.
	Current *Object `json:"current,omitempty"`
	// ValidationErrors lists all reasons why an object is invalid.
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
