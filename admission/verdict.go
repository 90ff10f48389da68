package admission

import "time"

// Action is what happens to an offered item.
type Action int

// Actions of a Verdict.
const (
	// Admit lets the item run now.
	Admit Action = iota
	// Wait has queued the item; Next returns it later.
	Wait
	// Refuse ends the item at once.
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

// Reason says why an item was refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonDeadline  Reason = "deadline"
	ReasonQueueFull Reason = "queue_full"
)

// Verdict is the answer to Offer.
type Verdict struct {
	Action Action
	Reason Reason
	// ExpectedWait is the estimated time in the queue.
	ExpectedWait time.Duration
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
	// Displaced was removed from the full queue in favour of this item, because its workspace holds more than its
	// share. Its final answer is a refusal with DisplacedRetryAfter.
	Displaced           *Item
	DisplacedRetryAfter time.Duration
}
