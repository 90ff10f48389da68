package usage_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/usage"
)

// A record is counted once, even if its batch arrives twice.
func Example() {
	start := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	recorder := usage.NewRecorder("agent-1", "run-1")
	for _, tokens := range []int64{10, 20} {
		recorder.Add(usage.Record{
			RequestID: "r", Workspace: "north", PromptTokens: 5, CompletionTokens: tokens, FinishedAt: start,
		})
	}
	batch, _ := recorder.NextBatch(100)
	sealer := usage.NewSealer(start, usage.DedupState{})
	sealer.Add(batch)
	sealer.Add(batch) // the reply to the first write was lost, and an entry recovered the same records
	recorder.MarkFlushed(batch.LastSeq())
	sealed, _, err := sealer.Seal()
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, report := range sealed.Reports {
		fmt.Println(string(report.Body))
	}
	fmt.Println("repeated:", sealed.Repeated, "missing:", sealed.Missing, "pending:", recorder.Pending())
	// Output:
	// {"workspace":"north","window":"2026-03-01T10:00:00Z","requests":2,"prompt_tokens":10,"completion_tokens":30}
	// repeated: 2 missing: 0 pending: 0
}
