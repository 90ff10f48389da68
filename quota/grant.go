package quota

import "time"

// Grant allows an entry to use a rate out of the granted part of a limit, in addition to its static rate.
type Grant struct {
	Workspace       string
	TokensPerSecond float64
	// ValidFor counts from the moment when the entry sent its request for the grant, on the entry's clock.
	ValidFor time.Duration
}

// Demand is the rate of a workspace's limit that an entry would use.
type Demand struct {
	Workspace       string
	TokensPerSecond float64
}

// Decision is the result of Take.
type Decision struct {
	Allowed bool
	// RetryAfter is the time until the bucket covers the request, when it was not allowed.
	RetryAfter time.Duration
}
