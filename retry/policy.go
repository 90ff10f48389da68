package retry

import (
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Policy limits the attempts of one request.
type Policy struct {
	// MaxAttempts is the largest number of attempts, including the first.
	MaxAttempts int
}

// DefaultPolicy returns the limits that entries use.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 3}
}

// Decide decides whether to retry a failed attempt. Only a retry of an attempt that may have run spends from budget, because
// only that one may repeat work. The sends of a request that has not run are limited by MaxAttempts.
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
	if reason != ReasonNotRun && !budget.Spend(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Reason: reason}
}

// retryable reports whether another attempt is safe, and why or why not.
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
