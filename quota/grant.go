package quota

import "time"

// Grant is a share of the granted part of a limit.
type Grant struct {
	Workspace       string
	TokensPerSecond float64
	// ValidFor counts from before the request for the grant was sent, on the entry's clock.
	ValidFor time.Duration
}

// Demand is what an entry would use of a workspace's limit.
type Demand struct {
	Workspace       string
	TokensPerSecond float64
}

// Verdict is the answer to Take.
type Verdict struct {
	Allowed bool
	// RetryAfter is when the share covers the request.
	RetryAfter time.Duration
}
