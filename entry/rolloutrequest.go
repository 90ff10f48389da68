package entry

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"

	"github.com/radishshelf/radishshelf/outcome"
)

// groupIDPattern restricts group ids to characters that are valid in row keys and sample ids.
var groupIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// rolloutRequest is the body of POST /v1/rollout-groups.
type rolloutRequest struct {
	Policy  string `json:"policy"`
	Trainer string `json:"trainer"`
	Group   string `json:"group"`
	// Size is the number of samples in the group.
	Size     int             `json:"size"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens, Temperature and TopP are passed to the engine if set.
	MaxTokens   int64    `json:"max_tokens,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
}

// rolloutResponse is the acknowledgement of a durable group.
type rolloutResponse struct {
	Group   string          `json:"group"`
	Trainer string          `json:"trainer"`
	Policy  string          `json:"policy"`
	Samples []rolloutSample `json:"samples"`
}

// rolloutSample is one sample of an acknowledged group.
type rolloutSample struct {
	ID         string   `json:"id"`
	Completion string   `json:"completion"`
	Versions   []int64  `json:"versions"`
	Reward     *float64 `json:"reward,omitempty"`
}

// generationRequest is the chat completion that produces one sample.
type generationRequest struct {
	Model       string          `json:"model"`
	Messages    json.RawMessage `json:"messages"`
	MaxTokens   int64           `json:"max_tokens,omitempty"`
	Temperature *float64        `json:"temperature,omitempty"`
	TopP        *float64        `json:"top_p,omitempty"`
	Stream      bool            `json:"stream"`
}

func parseRollout(body []byte, maxSize int) (rolloutRequest, *outcome.Refusal) {
	var req rolloutRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, invalidRequest("the body is not a rollout group request", "send a JSON object with policy, trainer, group, size and messages")
	}
	if req.Policy == "" || req.Trainer == "" {
		return req, invalidRequest("policy or trainer is missing", "name both")
	}
	if !groupIDPattern.MatchString(req.Group) {
		return req, invalidRequest("group is not a valid id", "use up to 128 letters, digits, dots, hyphens and underscores")
	}
	if req.Size < 1 || req.Size > maxSize {
		return req, invalidRequest("size is not between 1 and "+strconv.Itoa(maxSize), "send smaller groups")
	}
	if req.MaxTokens < 0 {
		return req, invalidRequest("max_tokens is negative", "send a positive number or none")
	}
	return req, checkMessages(req.Messages)
}

// generationBody returns the chat completion request of one sample.
func (r rolloutRequest) generationBody(limit int64) ([]byte, *outcome.Refusal) {
	tokens := r.MaxTokens
	if tokens == 0 {
		tokens = limit
	}
	if limit > 0 && tokens > limit {
		return nil, invalidRequest("max_tokens is above the limit of the policy", "lower max_tokens")
	}
	body, err := json.Marshal(generationRequest{
		Model: r.Policy, Messages: r.Messages, MaxTokens: tokens, Temperature: r.Temperature, TopP: r.TopP,
	})
	if err != nil {
		return nil, newRefusal(outcome.KindInvalid, http.StatusBadRequest, "the messages cannot be encoded", "send plain JSON")
	}
	return body, nil
}
