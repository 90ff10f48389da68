package routing

import "time"

// Candidate is an upstream as the entry knows it from heartbeats and responses.
type Candidate struct {
	Name       string
	DataCentre string
	Region     string
	// Serves is the policy or service name.
	Serves  string
	Version int64
	Alive   bool
	Healthy bool
	Leaving bool
	// Reserved upstreams run one exclusive request and accept no other.
	Reserved bool
	// ReportedAt is when the load report in the fields below was made, on this entry's clock; zero means never.
	ReportedAt time.Time
	// Running and Queued are the numbers of requests in the report.
	Running int
	Queued  int
	// Slots is how many requests the upstream can run at once; 0 means unknown.
	Slots int
	// PendingTokens is the outstanding work in the report.
	PendingTokens int64
	// TokensPerSecond is the recent generation rate in the report; 0 means unknown.
	TokensPerSecond float64
}
