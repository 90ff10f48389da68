package fleet

import (
	"encoding/json"

	"github.com/radishshelf/radishshelf/usage"
)

// Usage is a sum of reported or served usage.
type Usage struct {
	Requests, PromptTokens, CompletionTokens int64
}

// Add counts one request.
func (u *Usage) Add(requests, prompt, completion int64) {
	u.Requests += requests
	u.PromptTokens += prompt
	u.CompletionTokens += completion
}

// ReportedUsage sums the reports that the platform accepted, each identity once.
func (f *Fleet) ReportedUsage(workspace string) Usage {
	f.t.Helper()
	var sum Usage
	for _, taken := range f.Platform.Memory.Usage.List() {
		var figures usage.WorkspaceTotals
		if err := json.Unmarshal(taken.Body, &figures); err != nil {
			f.t.Fatalf("report %s: %v", taken.ID, err)
		}
		if figures.Workspace == workspace {
			sum.Add(figures.Requests, figures.PromptTokens, figures.CompletionTokens)
		}
	}
	return sum
}
