package fleetconfig

// Policy is a model that callers address by its name and that may be trained.
type Policy struct {
	// Trainer is the trainer that receives the samples of live traffic; empty if the policy is not trained.
	Trainer string `json:"trainer,omitempty"`
	// Scorer is the route of the scoring service; empty if samples carry no reward.
	Scorer string `json:"scorer,omitempty"`
	// Open is set if requests to the policy need no key.
	Open bool `json:"open,omitempty"`
	// MaxTokens limits the completion of one request, in tokens; 0 means the fleet default.
	MaxTokens int64 `json:"max_tokens,omitempty"`
}
