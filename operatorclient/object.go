package operatorclient

import (
	"encoding/json"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Object is one configuration object.
type Object struct {
	Kind     fleetconfig.Kind `json:"kind"`
	Name     string           `json:"name"`
	Revision int64            `json:"revision"`
	Value    json.RawMessage  `json:"value"`
}
