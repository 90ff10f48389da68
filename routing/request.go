package routing

// Request is what routing needs to know about one attempt.
type Request struct {
	ID string
	// Serves is the policy of an engine or the service name of a plain service.
	Serves string
	// MinVersion is the lowest acceptable weight version; 0 accepts any.
	MinVersion int64
	// Prefix holds the block hashes of the prompt.
	Prefix []uint64
	// CostTokens estimates the tokens of the request.
	CostTokens int64
	// Bytes estimates the request and answer volume.
	Bytes int64
	// Excluded names upstreams that already failed this request.
	Excluded []string
	// Exclusive requests run only on an upstream without other work, because they are crash suspects.
	Exclusive bool
}
