package entry

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Values of Retry-After for refused requests.
const (
	retryAfterIsolated   = 5 * time.Second
	retryAfterBusy       = time.Second
	retryAfterNoUpstream = 2 * time.Second
	retryAfterNoCapacity = 5 * time.Second
)

// newRefusal returns the refusal of a request that was not sent to an agent; its outcome is "not run".
func newRefusal(kind outcome.Kind, status int, message, remedy string) *outcome.Refusal {
	return &outcome.Refusal{Kind: kind, Outcome: outcome.NotRun, Status: status, Message: message, Remedy: remedy}
}

// newRetryableRefusal returns a refusal that tells the caller when to retry.
func newRetryableRefusal(kind outcome.Kind, status int, message, remedy string, retryAfter time.Duration) *outcome.Refusal {
	r := newRefusal(kind, status, message, remedy)
	r.RetryAfter = retryAfter
	return r
}

func invalidRequest(message, remedy string) *outcome.Refusal {
	return newRefusal(outcome.KindInvalid, http.StatusBadRequest, message, remedy)
}

func unauthorized(message string) *outcome.Refusal {
	return newRefusal(outcome.KindUnauthorized, http.StatusUnauthorized, message,
		"send a granted key in Authorization: Bearer or X-Api-Key")
}

func keyWithdrawn(runOutcome outcome.Outcome) *outcome.Refusal {
	r := newRefusal(outcome.KindKeyWithdrawn, http.StatusUnauthorized, "the key was withdrawn", "ask the operator for a new key")
	r.Outcome = runOutcome
	return r
}

func entryIsolated(runOutcome outcome.Outcome) *outcome.Refusal {
	r := newRetryableRefusal(outcome.KindIsolated, http.StatusServiceUnavailable,
		"this entry cannot confirm that keys are still valid", "repeat the request, or send it to another entry", retryAfterIsolated)
	r.Outcome = runOutcome
	return r
}

func notFound(message, remedy string) *outcome.Refusal {
	return newRefusal(outcome.KindNotFound, http.StatusNotFound, message, remedy)
}

func destinationNotFound(subject string) *outcome.Refusal {
	return notFound("no policy or route matches this "+subject, "check the path or model, or ask the operator for access")
}

func entryLeaving() *outcome.Refusal {
	return newRetryableRefusal(outcome.KindLeaving, http.StatusServiceUnavailable, "this entry is shutting down",
		"send the request to another entry", retryAfterBusy)
}

func deadlineExceeded(runOutcome outcome.Outcome) *outcome.Refusal {
	r := newRetryableRefusal(outcome.KindDeadline, http.StatusGatewayTimeout, "the deadline passed before the response arrived",
		"allow more time in X-Request-Timeout", retryAfterBusy)
	r.Outcome = runOutcome
	return r
}
