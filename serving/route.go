package serving

import "time"

// Kind says what may be repeated on a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Rollout routes take batch jobs, whose items may run more than once.
	Rollout Kind = "rollout"
)

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name string
	// Host and PathPrefix select the route; the prefix begins and ends with a slash.
	Host, PathPrefix string
	Kind             Kind
	// Public routes need no key.
	Public bool
	// Streaming routes answer with events; Resumable ones may be continued at another upstream.
	Streaming, Resumable bool
	// SingleVersion requires that all events of a text come from one weight version.
	SingleVersion bool
	// Targets are the services with their share of the requests.
	Targets []Target
	// MaxAttempts bounds the upstreams to which one attempt of the caller may be sent.
	MaxAttempts int
	// Timeout is the longest time that a request may be kept waiting; 0 means no limit.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Due is how long after its submission the results of a batch job are due.
	Due time.Duration
	// ItemLifetime is how long after the submission of its job an item must be tried.
	ItemLifetime time.Duration
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.Kind != NonIdempotent
}
