package fleetconfig

// Policy is a model that callers reach by its name and that may be trained.
type Policy struct {
	// Trainer receives the samples of live traffic; empty when the policy is not trained.
	Trainer string `json:"trainer,omitempty"`
	// Scorer is the route of the scoring service; empty when samples carry no reward.
	Scorer string `json:"scorer,omitempty"`
	// Open policies need no key.
	Open bool `json:"open,omitempty"`
	// MaxTokens bounds the completion of one request; 0 means the fleet default.
	MaxTokens int64 `json:"max_tokens,omitempty"`
}
