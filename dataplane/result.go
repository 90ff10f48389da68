package dataplane

// Span is a run of consecutive generated tokens from one weight version.
type Span struct {
	// Version is the weight version; 0 means unknown.
	Version int64 `json:"version"`
	Tokens  int   `json:"tokens"`
}

// Result is what the agent reports about a finished request.
type Result struct {
	// Upstream and Incarnation identify the agent process that ran the request.
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
	// UsageSeq is the sequence number of the usage record within the incarnation; 0 means that nothing was counted.
	UsageSeq         int64 `json:"usage_seq"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// Spans label the generated tokens in order.
	Spans []Span `json:"spans,omitempty"`
	// DiscardReason is set when the response must not become a sample.
	DiscardReason string `json:"discard_reason,omitempty"`
}
