package engineapi

// Order is the body of a stage or activate call.
type Order struct {
	Policy  string `json:"policy"`
	Version int64  `json:"version"`
	// Term is the fencing number of whoever gave the order.
	Term int64 `json:"term"`
	// Sources are URLs of the weights, tried in order: the weight store or another engine.
	Sources []string `json:"sources,omitempty"`
}

// Status is the state of an engine.
type Status struct {
	Policy string `json:"policy"`
	// ActiveVersion is 0 while the engine does not know it.
	ActiveVersion  int64   `json:"active_version"`
	StagedVersions []int64 `json:"staged_versions"`
	StartCount     int64   `json:"start_count"`
	Running        int     `json:"running"`
	Queued         int     `json:"queued"`
	Slots          int     `json:"slots"`
	HighestTerm    int64   `json:"highest_term"`
}

// CacheEvents lists prefix hashes that entered and left the prefix cache.
type CacheEvents struct {
	// First is the sequence number of the first event and Next that of the one after the last. Numbers may be missing.
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// Error is the body of a refused call.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what is wrong and how to proceed.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}
