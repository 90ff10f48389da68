package usage

// WorkspaceTotals is the usage of one workspace in one window.
type WorkspaceTotals struct {
	Workspace string `json:"workspace"`
	// Window is the start of the window as an RFC 3339 time in UTC.
	Window           string `json:"window"`
	Requests         int64  `json:"requests"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	// LateRequests is the number of these requests that belong to an earlier window, closed before they arrived.
	LateRequests int64 `json:"late_requests,omitempty"`
}

func (t *WorkspaceTotals) add(rec Record, late bool) {
	t.Requests++
	t.PromptTokens += rec.PromptTokens
	t.CompletionTokens += rec.CompletionTokens
	if late {
		t.LateRequests++
	}
}
