package dataplane

// Load is the load of one upstream as its agent sees it.
type Load struct {
	// Running and Queued count requests; Slots is how many may run at once.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// PendingTokens estimates the tokens still to generate for admitted requests.
	PendingTokens int64 `json:"pending_tokens"`
	// TokensPerSecond is the recent generation rate of the whole upstream.
	TokensPerSecond float64 `json:"tokens_per_second"`
}
