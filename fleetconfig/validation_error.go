package fleetconfig

import "fmt"

// ValidationError is one fault of a configuration object.
type ValidationError struct {
	Kind Kind
	Name string
	// Field is the JSON name of the field at fault; empty when the whole object is meant.
	Field string
	// Problem says what is wrong and Remedy what to write instead.
	Problem string
	Remedy  string
}

// Error implements error.
func (e *ValidationError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s %q: %s; %s", e.Kind, e.Name, e.Problem, e.Remedy)
	}
	return fmt.Sprintf("%s %q: field %q: %s; %s", e.Kind, e.Name, e.Field, e.Problem, e.Remedy)
}
