package entry

import "time"

// Quota enforces the token limits of workspaces. *QuotaShares implements it.
type Quota interface {
	// Take charges the cost against a limit in tokens per second, which holds for all entries together. If the limit is
	// exceeded, it returns an *outcome.Refusal with the time to retry after.
	Take(workspace string, limit float64, cost int64, now time.Time) error
	// Adjust corrects an earlier Take once the actual cost is known. extra is negative if less was used.
	Adjust(workspace string, extra int64, now time.Time)
}
