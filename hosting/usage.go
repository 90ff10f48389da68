package hosting

import "context"

// UsageReport carries the figures of one workspace in one time window.
type UsageReport struct {
	// ID is "<window>/<workspace>".
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	// Window is the start of the window in RFC 3339, UTC.
	Window string `json:"window"`
	// Body holds the sealed figures, sent byte for byte on every try.
	Body []byte `json:"body"`
	// Term is the fencing number of the role holder that sends the report.
	Term int64 `json:"term"`
}

// UsageSink takes usage reports, one per workspace and window.
type UsageSink interface {
	// Report is idempotent for equal bodies; a different body under the same ID is KindConflict.
	Report(ctx context.Context, report UsageReport) error
}
