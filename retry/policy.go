package retry

import (
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Policy bounds the attempts of one request.
type Policy struct {
	// MaxAttempts includes the first try.
	MaxAttempts int
}

// DefaultPolicy returns the limits that entries use.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 3}
}

// Decide says whether to repeat a failed attempt. A positive decision has spent one retry from budget.
func (p Policy) Decide(a Attempt, budget *Budget, now time.Time) Decision {
	reason, safe := retryable(a)
	if !safe {
		return Decision{Reason: reason}
	}
	if a.Number >= p.MaxAttempts {
		return Decision{Reason: ReasonAttempts}
	}
	if a.DeadlineLeft <= 0 || a.DeadlineLeft < a.MinRunTime {
		return Decision{Reason: ReasonDeadline}
	}
	if !budget.Spend(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Reason: reason}
}

// retryable reports whether another attempt can do no harm.
func retryable(a Attempt) (Reason, bool) {
	switch {
	case a.BytesPassedOn > 0:
		return ReasonBytesPassed, false
	case a.Outcome == outcome.NotRun:
		return ReasonNotRun, true
	case !a.Idempotent:
		return ReasonNotIdempotent, false
	case a.Outcome == outcome.Ran:
		return ReasonFinished, false
	default:
		return ReasonIdempotent, true
	}
}
