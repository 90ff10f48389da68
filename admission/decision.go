package admission

import "time"

// Action is what happened to an offered item.
type Action int

// Actions of a Decision.
const (
	// Admit means that the item runs now.
	Admit Action = iota
	// Wait means that the item is queued; Next returns it later.
	Wait
	// Refuse means that the item is rejected.
	Refuse
)

// String returns the form used in log lines.
func (a Action) String() string {
	switch a {
	case Admit:
		return "admit"
	case Wait:
		return "wait"
	default:
		return "refuse"
	}
}

// Reason is why an item was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonDeadline  Reason = "deadline"
	ReasonQueueFull Reason = "queue_full"
)

// Decision is the result of Offer.
type Decision struct {
	Action Action
	Reason Reason
	// ExpectedWait is the estimated time in the queue.
	ExpectedWait time.Duration
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Displaced is an item that was removed from the full queue in favour of this one, because its workspace has more than
	// its share of the queue; nil when there is none. The caller must refuse it with DisplacedRetryAfter.
	Displaced           *Item
	DisplacedRetryAfter time.Duration
}
