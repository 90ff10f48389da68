package serving

// Service is a group of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that one upstream accepts from all callers.
	MaxConnections int
	// Models are the models that the upstreams of the service run; empty for a plain service.
	Models []string
	// Scaling holds the bounds within which upstreams may be ordered; nil when the platform does not scale the service.
	Scaling *Scaling
}

// Scaling bounds the number of upstreams in each data centre.
type Scaling struct {
	Min, Max int
}
