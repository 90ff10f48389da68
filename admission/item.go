package admission

import "time"

// Item is one request that wants to run.
type Item struct {
	ID string
	// Key is the id of the caller's key; RemoveKey ends all its queued items.
	Key       string
	Workspace string
	// Weight is the workspace's share under overload; 0 means 1.
	Weight float64
	// Cost is the estimate in tokens; Done corrects it.
	Cost int64
	// Deadline is when the answer must be complete; zero means none.
	Deadline time.Time
	// ServiceTime estimates the running time after admission. 0 makes the queue use the 95th percentile of what it observed
	// for items of similar cost. The mean is too low: a long queue then admits many items that run past their deadline
	// and waste their tokens.
	ServiceTime time.Duration
	// CompletesGroup puts the item before the workspace's other items: its group waits for it.
	CompletesGroup bool
}

// missesDeadline reports whether the item can no longer finish in time after waiting.
func (i Item) missesDeadline(wait time.Duration, now time.Time) bool {
	if i.Deadline.IsZero() {
		return false
	}
	return now.Add(wait + i.ServiceTime).After(i.Deadline)
}
