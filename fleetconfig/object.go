package fleetconfig

import "encoding/json"

// Object is one configuration object at one revision.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the global revision of the change that wrote the object.
	Revision int64 `json:"revision"`
	// Value is the JSON form of the typed object; empty when Deleted.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted objects are kept as tombstones, so that an older copy cannot bring them back.
	Deleted bool `json:"deleted,omitempty"`
}
