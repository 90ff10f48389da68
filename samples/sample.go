// Package samples defines training samples, the weight versions of their tokens, and sample groups.
package samples

import (
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// Sample is a finished generation whose tokens all have a known weight version.
type Sample struct {
	// ID is "<group>/<index>". It is known before the generation starts.
	ID    string `json:"id"`
	Index int    `json:"index"`
	// Workspace and Policy are those of the generation request.
	Workspace string `json:"workspace"`
	Policy    string `json:"policy"`
	// Messages is the chat prompt as sent by the caller.
	Messages   json.RawMessage `json:"messages"`
	Completion string          `json:"completion"`
	// Spans are the weight versions of the generated tokens, in token order. No version is unknown.
	Spans []dataplane.Span `json:"spans"`
	// Reward is nil when the policy has no scoring service.
	Reward     *float64  `json:"reward,omitempty"`
	Upstream   string    `json:"upstream"`
	FinishedAt time.Time `json:"finished_at"`
}
