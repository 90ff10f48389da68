package configstore

import (
	"fmt"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// ConflictError reports that the object is not at the revision that the change expected.
type ConflictError struct {
	Kind     fleetconfig.Kind
	Name     string
	Expected int64
	// Current is the current object; its revision is 0 if it never existed.
	Current fleetconfig.Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q %s, but the change expected %s; %s",
		e.Kind, e.Name, e.currentState(), expectedState(e.Expected), e.Remedy())
}

// Remedy returns what the caller can do about the conflict.
func (e *ConflictError) Remedy() string {
	if e.Current.Revision == 0 || e.Current.Deleted {
		return "repeat the change with expected revision 0 to create it"
	}
	return fmt.Sprintf("check the current value and repeat the change with expected revision %d", e.Current.Revision)
}

func (e *ConflictError) currentState() string {
	switch {
	case e.Current.Revision == 0:
		return "does not exist"
	case e.Current.Deleted:
		return fmt.Sprintf("was deleted at revision %d", e.Current.Revision)
	default:
		return fmt.Sprintf("is at revision %d", e.Current.Revision)
	}
}

func expectedState(expected int64) string {
	if expected == 0 {
		return "that it does not exist"
	}
	return fmt.Sprintf("revision %d", expected)
}
