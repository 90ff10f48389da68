package admission

import "time"

// Item is one request to be admitted.
type Item struct {
	ID string
	// Key is the id of the caller's API key; RemoveKey removes all queued items of a key.
	Key       string
	Workspace string
	// Weight is the workspace's share under overload; 0 means 1.
	Weight float64
	// Cost is the estimated number of tokens; Done corrects it.
	Cost int64
	// Deadline is when the response must be complete; zero means none.
	Deadline time.Time
	// ServiceTime is the estimated running time after admission. If it is 0, the queue uses the 95th percentile of the
	// times observed for items of similar cost. The mean would be too low: a long queue would then admit many items that
	// run past their deadline and waste their tokens.
	ServiceTime time.Duration
	// Rank orders the items of a workspace: those of a lower rank are served first.
	Rank int
}

// CompletesGroup is the rank of an item whose group waits only for it; other items of a group have rank 0.
const CompletesGroup = -1

// missesDeadline reports whether the item can no longer finish before its deadline if it waits for the given time.
func (i Item) missesDeadline(wait time.Duration, now time.Time) bool {
	if i.Deadline.IsZero() {
		return false
	}
	return now.Add(wait + i.ServiceTime).After(i.Deadline)
}
