package entry

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Times after which a refused caller may come back.
const (
	retryIsolated = 5 * time.Second
	retryBusy     = time.Second
	retryNoTarget = 2 * time.Second
	retryNoRoom   = 5 * time.Second
)

// refuse builds the final answer to a request that was not sent to an agent.
func refuse(kind outcome.Kind, status int, message, remedy string) *outcome.Refusal {
	return &outcome.Refusal{Kind: kind, Outcome: outcome.NotRun, Status: status, Message: message, Remedy: remedy}
}

func refuseLater(kind outcome.Kind, status int, message, remedy string, after time.Duration) *outcome.Refusal {
	r := refuse(kind, status, message, remedy)
	r.RetryAfter = after
	return r
}

func invalid(message, remedy string) *outcome.Refusal {
	return refuse(outcome.KindInvalid, http.StatusBadRequest, message, remedy)
}

func unauthorized(message string) *outcome.Refusal {
	return refuse(outcome.KindUnauthorized, http.StatusUnauthorized, message,
		"send a granted key in Authorization: Bearer or X-Api-Key")
}

func withdrawn(what outcome.Outcome) *outcome.Refusal {
	r := refuse(outcome.KindKeyWithdrawn, http.StatusUnauthorized, "the key was withdrawn", "ask the operator for a new key")
	r.Outcome = what
	return r
}

func isolated(what outcome.Outcome) *outcome.Refusal {
	r := refuseLater(outcome.KindIsolated, http.StatusServiceUnavailable,
		"this entry cannot confirm that keys are still granted", "send the request again, or to another entry", retryIsolated)
	r.Outcome = what
	return r
}

func notFound(message, remedy string) *outcome.Refusal {
	return refuse(outcome.KindNotFound, http.StatusNotFound, message, remedy)
}

func nothingServed(under string) *outcome.Refusal {
	return notFound("nothing is served under this "+under, "check the path or model, or ask the operator for access")
}

func leaving() *outcome.Refusal {
	return refuseLater(outcome.KindLeaving, http.StatusServiceUnavailable, "this entry is shutting down",
		"send the request to another entry", retryBusy)
}

func deadlinePassed(what outcome.Outcome) *outcome.Refusal {
	r := refuseLater(outcome.KindDeadline, http.StatusGatewayTimeout, "the deadline passed before the answer",
		"allow more time in X-Request-Timeout", retryBusy)
	r.Outcome = what
	return r
}
