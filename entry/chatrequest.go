package entry

import (
	"bytes"
	"encoding/json"

	"github.com/radishshelf/radishshelf/outcome"
)

const (
	// bytesPerToken is used to estimate the tokens of a prompt; English text has about four bytes per token.
	bytesPerToken = 4
	// defaultCompletionTokens is the estimated length of a completion without a token limit.
	defaultCompletionTokens = 512
)

// chatRequest holds the fields of a chat completion request that an entry reads.
type chatRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
}

func parseChat(body []byte) (chatRequest, *outcome.Refusal) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, invalidRequest("the body is not a chat completion request", "send a JSON object with model and messages")
	}
	if req.Model == "" {
		return req, invalidRequest("the model is missing", "name a policy in the field model; GET /v1/models lists them")
	}
	if refusal := checkMessages(req.Messages); refusal != nil {
		return req, refusal
	}
	if req.N != nil && *req.N != 1 {
		return req, invalidRequest("n is not 1", "send one request for each completion, or use POST /v1/rollout-groups")
	}
	for _, limit := range []*int64{req.MaxTokens, req.MaxCompletionTokens} {
		if limit != nil && *limit <= 0 {
			return req, invalidRequest("the token limit is not positive", "send a positive max_tokens or none")
		}
	}
	return req, nil
}

// checkMessages checks that raw is a non-empty list of objects.
func checkMessages(raw json.RawMessage) *outcome.Refusal {
	var messages []json.RawMessage
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return invalidRequest("messages is missing, empty or not a list", "send a non-empty list of messages")
	}
	for _, message := range messages {
		if trimmed := bytes.TrimSpace(message); len(trimmed) == 0 || trimmed[0] != '{' {
			return invalidRequest("a message is not an object", "send objects with role and content")
		}
	}
	return nil
}

// tokenLimit returns the completion token limit that the caller set, or 0 if there is none.
func (c chatRequest) tokenLimit() int64 {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens
	}
	if c.MaxTokens != nil {
		return *c.MaxTokens
	}
	return 0
}

// cost estimates the tokens of the prompt and completion. limit is the policy's token limit, or 0.
func (c chatRequest) cost(limit int64) int64 {
	completion := c.tokenLimit()
	if completion == 0 {
		completion = limit
	}
	if completion == 0 {
		completion = defaultCompletionTokens
	}
	return int64(len(c.Messages))/bytesPerToken + completion
}

// applyTokenLimit returns the body with the token limit of the policy. A request for more tokens is refused, so that the
// caller does not mistake a shortened completion for a full one.
func applyTokenLimit(body []byte, req chatRequest, limit int64) ([]byte, *outcome.Refusal) {
	if limit == 0 || req.tokenLimit() > 0 && req.tokenLimit() <= limit {
		return body, nil
	}
	if req.tokenLimit() > limit {
		return nil, invalidRequest("max_tokens is above the limit of the policy", "lower max_tokens")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, invalidRequest("the body is not a JSON object", "send a JSON object with model and messages")
	}
	raw, err := json.Marshal(limit)
	if err != nil {
		return nil, invalidRequest("the token limit cannot be encoded", "send max_tokens")
	}
	fields["max_tokens"] = raw
	bounded, err := json.Marshal(fields)
	if err != nil {
		return nil, invalidRequest("the body cannot be encoded", "send max_tokens")
	}
	return bounded, nil
}
