package fleetconfig

import "fmt"

// ValidationError is one error in a configuration object.
type ValidationError struct {
	Kind Kind
	Name string
	// Field is the JSON name of the invalid field; empty if the error concerns the whole object.
	Field string
	// Problem describes what is wrong, and Remedy how to correct it.
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
