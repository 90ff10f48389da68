package operatorclient

// ChangeResult is the response to a change that was committed.
type ChangeResult struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Accepted is set when the change is in force at every live entry.
	Accepted bool `json:"accepted"`
	// Message is "accepted" or "committed, not yet in force at ...".
	Message string `json:"message"`
	// Pending names the entries where the change is not yet in force.
	Pending []string `json:"pending,omitempty"`
	// Isolated names the entries that do not respond and by now refuse keyed requests.
	Isolated []string `json:"isolated,omitempty"`
}
