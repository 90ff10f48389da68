package serving

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/homes"
)

// Kind says which requests of a route may be repeated.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Rollout routes accept batch jobs, whose items may run more than once.
	Rollout Kind = "rollout"
)

// Route configures how the requests for a host and path prefix are handled.
type Route struct {
	Name string
	// Host and PathPrefix select the route. The prefix begins and ends with a slash.
	Host, PathPrefix string
	Kind             Kind
	// Public routes do not require an API key.
	Public bool
	// Streaming routes respond with a stream of events. Resumable streams can be continued on another upstream.
	Streaming, Resumable bool
	// SingleVersion requires all events of a text to come from one weight version.
	SingleVersion bool
	// Targets lists the services that receive the requests, with their weights.
	Targets []Target
	// MaxAttempts limits the number of upstreams to which one attempt of the caller is sent.
	MaxAttempts int
	// Timeout is the maximum time that a request may wait; 0 means no limit.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Due is the time after the submission of a batch job by which its results are due.
	Due time.Duration
	// Homes restricts the regions in which requests of the route are served and kept.
	Homes homes.Regions
	// ItemLifetime is the time after the submission of a batch job during which its items must be attempted.
	ItemLifetime time.Duration
}

// Target is a service that receives a share of a route's requests, proportional to Weight.
type Target struct {
	Service string
	Weight  float64
}

// normalized returns the route as it is served: at least one attempt, and only targets with a share.
func (r *Route) normalized() *Route {
	served := *r
	served.MaxAttempts = max(r.MaxAttempts, 1)
	served.Targets = slices.DeleteFunc(slices.Clone(r.Targets), func(t Target) bool { return t.Weight <= 0 })
	return &served
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.Kind != NonIdempotent
}
