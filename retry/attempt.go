package retry

import (
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Attempt holds the facts about one failed attempt.
type Attempt struct {
	// Number counts attempts of the request from 1.
	Number     int
	Outcome    outcome.Outcome
	Idempotent bool
	// BytesPassedOn counts bytes of the answer that the caller has received.
	BytesPassedOn int64
	// DeadlineLeft is the time until the deadline of the request.
	DeadlineLeft time.Duration
	// MinRunTime is the shortest time in which another attempt can finish.
	MinRunTime time.Duration
}

// Decision is the answer to Decide.
type Decision struct {
	Retry  bool
	Reason Reason
}
