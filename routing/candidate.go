package routing

import "time"

// Candidate is an upstream as the entry knows it from heartbeats and answers.
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
	// Reserved upstreams run one exclusive request and take nothing else.
	Reserved bool
	// ReportedAt is when the load below was measured, on this entry's clock; zero means never.
	ReportedAt time.Time
	// Running and Queued are the requests in the report.
	Running int
	Queued  int
	// Slots is how many requests the upstream runs at once; 0 means unknown.
	Slots int
	// PendingTokens is the work in the report.
	PendingTokens   int64
	TokensPerSecond float64
}
