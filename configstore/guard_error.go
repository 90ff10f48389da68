package configstore

import (
	"fmt"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// GuardError says that a guard of the change no longer holds, for example because the role was lost.
type GuardError struct {
	Kind fleetconfig.Kind
	Name string
	// Key is the row of the guard.
	Key string
}

// Error implements error.
func (e *GuardError) Error() string {
	return fmt.Sprintf("%s %q was not changed, because row %s has changed; stop acting under it", e.Kind, e.Name, e.Key)
}
