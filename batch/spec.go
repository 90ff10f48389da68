package batch

// Spec is a job as it was submitted.
type Spec struct {
	ID string `json:"id"`
	// Step is the trainer's step number, counted from 0.
	Step int64 `json:"step"`
	// Model is the model whose weights the items run on, and MinVersion the oldest version that may generate a text.
	Model      string `json:"model"`
	MinVersion int64  `json:"min_version"`
	// Desired is the number of complete groups that the trainer waits for.
	Desired int    `json:"desired"`
	Items   []Item `json:"items"`
}

// Item is one request of a job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	// Tokens is the number of prompt tokens plus the maximum number of output tokens.
	Tokens int `json:"tokens"`
	// PromptTokens is the number of prompt tokens; 0 if unknown.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// LengthHint is the trainer's estimate of the output tokens; 0 if there is none.
	LengthHint int    `json:"length_hint,omitempty"`
	Group      string `json:"group,omitempty"`
	// Score is the call that scores the text; nil when the text needs no score.
	Score *ScoreCall `json:"score,omitempty"`
}

// ExpectedTokens is the trainer's estimate of the output length, at most the limit of the item; 0 if there is none.
func (i *Item) ExpectedTokens() int { return i.withinLimit(i.LengthHint) }

// withinLimit returns a number of output tokens, reduced to what the item may generate.
func (i *Item) withinLimit(tokens int) int {
	if limit := i.outputLimit(); limit > 0 {
		return min(tokens, limit)
	}
	return tokens
}

// outputLimit returns the maximum number of output tokens, with the prompt included if its length is unknown; 0 if the
// item names no limit.
func (i *Item) outputLimit() int { return max(i.Tokens-i.PromptTokens, 0) }

// ScoreCall is the request that scores the text of an item. It must be safe to repeat.
type ScoreCall struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}
