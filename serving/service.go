package serving

import "time"

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all callers together.
	MaxConnections int
	// Models lists the models that the upstreams of the service run. It is empty for a plain service.
	Models []string
	// ColdRequests is how many requests a second one upstream takes from all hosts together while it is cold; 0 means that
	// cold upstreams take as many as others.
	ColdRequests float64
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// Scaling limits how many upstreams may be ordered. It is nil if the platform does not scale the service.
	Scaling *Scaling
}

// Scaling limits the number of upstreams in each data centre.
type Scaling struct {
	Min, Max int
}
