package usage

// WorkspaceTotals is the usage of one workspace in one window.
type WorkspaceTotals struct {
	Workspace string `json:"workspace"`
	// Window is the start of the window in RFC 3339, UTC.
	Window           string `json:"window"`
	Requests         int64  `json:"requests"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	// LateRequests of the requests belong to an earlier window that was closed before they arrived.
	LateRequests int64 `json:"late_requests,omitempty"`
}

func (f *WorkspaceTotals) add(rec Record, late bool) {
	f.Requests++
	f.PromptTokens += rec.PromptTokens
	f.CompletionTokens += rec.CompletionTokens
	if late {
		f.LateRequests++
	}
}
