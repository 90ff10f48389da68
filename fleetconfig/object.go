package fleetconfig

import "encoding/json"

// Object is one configuration object at one revision.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the revision, global to the configuration, of the change that wrote the object.
	Revision int64 `json:"revision"`
	// Value is the JSON form of the typed object; empty when Deleted.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted marks a tombstone, which is kept so that an older copy cannot restore the object.
	Deleted bool `json:"deleted,omitempty"`
}
