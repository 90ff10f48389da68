package fleetconfig

// Route maps a path prefix on the port for callers to a plain service.
type Route struct {
	PathPrefix string `json:"path_prefix"`
	// Service is the service name of the upstreams that serve the route.
	Service string `json:"service"`
	// Open is set if requests to the route need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent is set if a request may be retried after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// CostTokens is what one request counts against the token limits; 0 means 1.
	CostTokens int64 `json:"cost_tokens,omitempty"`
}
