package retry

import (
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt within the request, from 1.
	Number     int
	Outcome    outcome.Outcome
	Idempotent bool
	// BytesPassedOn is the number of response bytes already forwarded to the caller.
	BytesPassedOn int64
	// DeadlineLeft is the time until the deadline of the request.
	DeadlineLeft time.Duration
	// MinRunTime is the shortest time that another attempt needs.
	MinRunTime time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Retry  bool
	Reason Reason
}
