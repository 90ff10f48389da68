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

// Error is one error in a settings file.
type Error struct {
	Kind ErrorKind
	// Field is the JSON path of the field, such as "tls.cert_file"; empty if the error concerns the whole file.
	Field string
	// Problem describes what is wrong, and Remedy how to correct it.
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
