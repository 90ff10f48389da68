package settings

import "fmt"

// ErrorKind classifies a settings error.
type ErrorKind string

// Kinds of settings errors.
const (
	KindUnreadable   ErrorKind = "unreadable"
	KindSyntax       ErrorKind = "syntax"
	KindUnknownField ErrorKind = "unknown_field"
	KindWrongType    ErrorKind = "wrong_type"
	KindWrongUnit    ErrorKind = "wrong_unit"
	KindMissing      ErrorKind = "missing"
	KindInvalid      ErrorKind = "invalid"
	KindConflict     ErrorKind = "conflict"
)

// Error is one fault of a settings file.
type Error struct {
	Kind ErrorKind
	// Field is the JSON path of the field, empty when the whole file is meant.
	Field string
	// Problem says what is wrong and Remedy what to write instead.
	Problem string
	Remedy  string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("settings: %s (%s); %s", e.Problem, e.Kind, e.Remedy)
	}
	return fmt.Sprintf("settings: field %q: %s (%s); %s", e.Field, e.Problem, e.Kind, e.Remedy)
}
