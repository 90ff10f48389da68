package fleet

import (
	"encoding/json"

	"github.com/radishshelf/radishshelf/usage"
)

// Usage is a sum of requests and tokens, either served or reported.
type Usage struct {
	Requests, PromptTokens, CompletionTokens int64
}

// Add adds requests and tokens to the sum.
func (u *Usage) Add(requests, prompt, completion int64) {
	u.Requests += requests
	u.PromptTokens += prompt
	u.CompletionTokens += completion
}

// ReportedUsage sums the usage reports of a workspace that the platform accepted. Each report id counts once.
func (f *Fleet) ReportedUsage(workspace string) Usage {
	f.t.Helper()
	var sum Usage
	for _, report := range f.Platform.Memory.Usage.List() {
		var totals usage.WorkspaceTotals
		if err := json.Unmarshal(report.Body, &totals); err != nil {
			f.t.Fatalf("decode usage report %s: %v", report.ID, err)
		}
		if totals.Workspace == workspace {
			sum.Add(totals.Requests, totals.PromptTokens, totals.CompletionTokens)
		}
	}
	return sum
}
