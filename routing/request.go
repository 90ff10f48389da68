package routing

// Request describes one attempt to be routed.
type Request struct {
	ID string
	// Serves is the policy of an engine or the service name of a plain service.
	Serves string
	// MinVersion is the lowest acceptable weight version; 0 accepts any.
	MinVersion int64
	// Prefix holds the hashes of the prompt blocks.
	Prefix []uint64
	// CostTokens is the estimated cost of the request in tokens.
	CostTokens int64
	// Bytes is the estimated size of the request and the response.
	Bytes int64
	// Excluded names the upstreams on which this request has already failed.
	Excluded []string
	// Exclusive marks a crash suspect, which runs only on an upstream without other work.
	Exclusive bool
}
