// Package samples defines training samples, their weight-version labels and the groups that they arrive in.
package samples

import (
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// Sample is one finished generation with true version labels.
type Sample struct {
	// ID is "<group>/<index>" and exists before the generation starts.
	ID    string `json:"id"`
	Index int    `json:"index"`
	// Workspace and Policy under which the generation ran.
	Workspace string `json:"workspace"`
	Policy    string `json:"policy"`
	// Messages is the chat prompt as the caller sent it.
	Messages   json.RawMessage `json:"messages"`
	Completion string          `json:"completion"`
	// Spans label the generated tokens in order; every version is known.
	Spans []dataplane.Span `json:"spans"`
	// Reward is nil when the policy has no scoring service.
	Reward     *float64  `json:"reward,omitempty"`
	Upstream   string    `json:"upstream"`
	FinishedAt time.Time `json:"finished_at"`
}
