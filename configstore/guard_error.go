package configstore

import (
	"fmt"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// GuardError reports that a guard of the change failed, for example because the role was lost.
type GuardError struct {
	Kind fleetconfig.Kind
	Name string
	// Key is the key of the guard's row.
	Key string
}

// Error implements error.
func (e *GuardError) Error() string {
	return fmt.Sprintf("%s %q was not changed, because guard row %s has changed; stop acting under this guard",
		e.Kind, e.Name, e.Key)
}
