package fleetconfig

import "encoding/json"

// Exception overrides one field of Defaults for one scope.
type Exception struct {
	// Scope is "workspace/<name>", "policy/<name>" or "data-centre/<name>".
	Scope string `json:"scope"`
	// Field is the JSON name of a field of Defaults.
	Field string          `json:"field"`
	Value json.RawMessage `json:"value"`
	// Reason is why the exception exists. It is mandatory, because operators need it to change or remove the exception.
	Reason string `json:"reason"`
}
