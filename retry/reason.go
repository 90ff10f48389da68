package retry

// Reason is why an attempt is or is not retried. It is used in log lines and as a metric label.
type Reason string

// Reasons of a Decision.
const (
	ReasonNotRun        Reason = "not_run"
	ReasonIdempotent    Reason = "idempotent"
	ReasonFinished      Reason = "finished"
	ReasonBytesPassed   Reason = "bytes_passed_on"
	ReasonNotIdempotent Reason = "not_idempotent"
	ReasonAttempts      Reason = "attempts_used"
	ReasonDeadline      Reason = "deadline"
	ReasonBudget        Reason = "budget_empty"
	// ReasonCancelled means that the request was cancelled or its deadline passed; Policy.Decide does not return it.
	ReasonCancelled Reason = "cancelled"
)
