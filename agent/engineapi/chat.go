// Package engineapi defines the HTTP API of a model engine: chat completions whose responses carry weight labels, and
// control calls that stage and activate weights.
package engineapi

// HTTP paths that an engine serves.
const (
	PathChat        = "/v1/chat/completions"
	PathStage       = "/control/stage"
	PathActivate    = "/control/activate"
	PathStatus      = "/control/status"
	PathCacheEvents = "/control/cache-events"
	// PathWeights is the prefix of <policy>/<version>, which serves the weights of that version to other engines.
	PathWeights = "/control/weights/"
)

// Request headers of a chat completion.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is an integer; lower values run first.
	HeaderPriority = "X-Request-Priority"
)

// DoneEvent is the data of the final event of a complete stream.
const DoneEvent = "[DONE]"

// Message is one chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Priority  int       `json:"priority,omitempty"`
}

// Label identifies the weights that generated a run of consecutive tokens.
type Label struct {
	// WeightVersion is 0 when the engine does not know its active version.
	WeightVersion int64 `json:"weight_version"`
	// StartCount changes with every start of the engine process.
	StartCount int64 `json:"start_count"`
	// Tokens is the number of tokens in the run.
	Tokens int `json:"tokens"`
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens that were found in the prefix cache.
	CachedTokens int64 `json:"cached_tokens"`
}

// Choice is a completion, or the part of it in one chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// ChatResponse is a whole response, or one chunk of a streamed response.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Labels cover the tokens of this response or chunk, in order.
	Labels []Label `json:"labels,omitempty"`
	Usage  *Usage  `json:"usage,omitempty"`
}
