package fleetconfig

// Route maps a path prefix of the caller port to a plain service.
type Route struct {
	PathPrefix string `json:"path_prefix"`
	// Service is the upstream group that serves the route.
	Service string `json:"service"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent routes may be repeated after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// CostTokens is the cost of one request in the token limits; 0 means 1.
	CostTokens int64 `json:"cost_tokens,omitempty"`
}
