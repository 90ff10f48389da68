package engineapi

// Order is the request body of a stage or activate call.
type Order struct {
	Policy  string `json:"policy"`
	Version int64  `json:"version"`
	// Term is the fencing term of the process that issued the order.
	Term int64 `json:"term"`
	// Sources are URLs of the weights, tried in order; each points to another engine or the weight store.
	Sources []string `json:"sources,omitempty"`
}

// Status is the state of an engine.
type Status struct {
	Policy string `json:"policy"`
	// ActiveVersion is 0 while the engine does not know which version is active.
	ActiveVersion  int64   `json:"active_version"`
	StagedVersions []int64 `json:"staged_versions"`
	StartCount     int64   `json:"start_count"`
	Running        int     `json:"running"`
	Queued         int     `json:"queued"`
	Slots          int     `json:"slots"`
	HighestTerm    int64   `json:"highest_term"`
}

// CacheEvents lists prefix hashes that were added to and removed from the prefix cache.
type CacheEvents struct {
	// First is the sequence number of the first event, and Next the one that follows the last event. The sequence may
	// have gaps.
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// Error is the response body of a refused call.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes what is wrong and how to proceed.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}
