package entry

import "time"

// Quota enforces the token limits of workspaces. *QuotaShares implements it.
type Quota interface {
	// Take charges the cost against a limit in tokens per second over all entries, or returns an *outcome.Refusal with
	// the time to come back.
	Take(workspace string, limit float64, cost int64, now time.Time) error
	// Adjust corrects an earlier Take once the real cost is known; extra is negative when less was used.
	Adjust(workspace string, extra int64, now time.Time)
}
