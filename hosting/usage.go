package hosting

import "context"

// UsageReport contains the usage of one workspace in one time window.
type UsageReport struct {
	// ID is "<window>/<workspace>".
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Window is the start of the window in RFC 3339, UTC.
	Window string `json:"window"`
	// Body contains the final usage counts. Every attempt to send the report uses identical bytes.
	Body []byte `json:"body"`
	// Term is the fencing token of the role holder that sends the report.
	Term int64 `json:"term"`
}

// UsageSink accepts usage reports, one per workspace and window.
type UsageSink interface {
	// Report stores a report. It is idempotent for equal bodies; a different body under the same ID fails with KindConflict.
	Report(ctx context.Context, report UsageReport) error
}
