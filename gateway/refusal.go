package gateway

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Times after which a refused caller may come back.
const (
	// retryAfterStart is for a process that has not read its configuration yet or is about to stop.
	retryAfterStart = 300 * time.Millisecond
	// retryAfterBusy is for upstreams without room; a plain request takes a few tens of milliseconds.
	retryAfterBusy = 150 * time.Millisecond
	// retryAfterStoreOutage is for a store that does not answer; outages last seconds.
	retryAfterStoreOutage = 1200 * time.Millisecond
)

func newRefusal(kind outcome.Kind, status int, message, remedy string) *outcome.Refusal {
	return &outcome.Refusal{Kind: kind, Outcome: outcome.NotRun, Status: status, Message: message, Remedy: remedy}
}

// unavailable returns a refusal that states that nothing ran and when to come back.
func unavailable(kind outcome.Kind, message string, after time.Duration) *outcome.Refusal {
	r := newRefusal(kind, http.StatusServiceUnavailable, message, "come back after the time given")
	r.RetryAfter = after
	return r
}

// outcomeUnknown is the answer when it is not known whether the request ran or will run.
func outcomeUnknown(kind outcome.Kind, status int, message string, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: kind, Outcome: outcome.MayHaveRun, Status: status, Message: message, Err: err,
		Remedy: "repeat the request if it may run twice",
	}
}
