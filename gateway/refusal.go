package gateway

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Retry-After times of refusals.
const (
	// retryAfterStart applies while the process has not read its tables yet or is shutting down, and to requests about a
	// stored job while the store does not respond.
	retryAfterStart = 300 * time.Millisecond
	// retryAfterBusy applies if all upstreams are busy; a plain request takes a few tens of milliseconds.
	retryAfterBusy = 150 * time.Millisecond
	// retryAfterStoreOutage applies to new jobs while the store does not respond, since outages last seconds, to crash
	// suspects whose probe cannot be claimed, and to routes without a target service.
	retryAfterStoreOutage = 1200 * time.Millisecond
	// retryAfterScope applies if homes or evacuations leave a request no upstream. Upstreams take seconds to come back, and a
	// caller that waits for its answer has a few seconds.
	retryAfterScope = time.Second
)

// newRefusal returns a refusal of a request that was not run.
func newRefusal(kind outcome.Kind, status int, message, remedy string) *outcome.Refusal {
	return &outcome.Refusal{Kind: kind, Outcome: outcome.NotRun, Status: status, Message: message, Remedy: remedy}
}

// noUpstream returns the refusal of a request for which every upstream that it may use has been left out for now. See
// refusalIn for the case that there is none.
func noUpstream() *outcome.Refusal {
	return unavailable(outcome.KindNoUpstream, "no upstream of the service can take the request", retryAfterBusy)
}

// unavailable returns a refusal with status 503 for a request that was not run and may be retried after the given time.
func unavailable(kind outcome.Kind, message string, after time.Duration) *outcome.Refusal {
	r := newRefusal(kind, http.StatusServiceUnavailable, message, "repeat the request after the given time")
	r.RetryAfter = after
	return r
}

// outcomeUnknown returns the error for a request that may have run or may still run.
func outcomeUnknown(kind outcome.Kind, status int, message string, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: kind, Outcome: outcome.MayHaveRun, Status: status, Message: message, Err: err,
		Remedy: "repeat the request if it is idempotent",
	}
}
