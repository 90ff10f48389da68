package configstore

import (
	"encoding/json"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
)

// Change is a requested change of one object.
type Change struct {
	Kind fleetconfig.Kind
	Name string
	// Value is the new value; it is ignored when Delete is set.
	Value  any
	Delete bool
	// Expected is the revision that the object must have; 0 if it must not exist.
	Expected int64
	// Guards are additional conditions, such as the lease row of a role. If one fails, Commit returns a *GuardError.
	Guards []hosting.Condition
}

func (c *Change) encode() (json.RawMessage, error) {
	if c.Delete {
		return nil, nil
	}
	return json.Marshal(c.Value)
}

func (c *Change) validate(view *fleetconfig.View, value json.RawMessage) error {
	if c.Delete {
		return fleetconfig.ValidateDelete(view, c.Kind, c.Name)
	}
	return fleetconfig.Validate(view, c.Kind, c.Name, value)
}

// matches reports whether the current object is at the revision that the change expects.
func (c *Change) matches(current fleetconfig.Object) bool {
	if current.Revision == 0 || current.Deleted {
		return c.Expected == 0 && !c.Delete
	}
	return c.Expected == current.Revision
}
