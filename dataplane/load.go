package dataplane

// Load is the load of one upstream as reported by its agent.
type Load struct {
	// Running and Queued count requests; Slots is how many may run at a time.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// PendingTokens is an estimate of the tokens that are still to be generated for admitted requests.
	PendingTokens int64 `json:"pending_tokens"`
	// TokensPerSecond is the recent generation rate of the upstream, over all requests.
	TokensPerSecond float64 `json:"tokens_per_second"`
}
