package gateway

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// Times after which a refused caller may come back.
const (
	// retryStart is for a process that has not read its configuration yet or is about to stop.
	retryStart = 300 * time.Millisecond
	// retryBusy is for upstreams without room; a plain request takes a few tens of milliseconds.
	retryBusy = 150 * time.Millisecond
	// retryStore is for a store that does not answer; outages last seconds.
	retryStore = 1200 * time.Millisecond
)

func refusal(kind outcome.Kind, status int, message, remedy string) *outcome.Refusal {
	return &outcome.Refusal{Kind: kind, Outcome: outcome.NotRun, Status: status, Message: message, Remedy: remedy}
}

// refuseFor returns a refusal that states that nothing ran and when to come back.
func refuseFor(kind outcome.Kind, message string, after time.Duration) *outcome.Refusal {
	r := refusal(kind, http.StatusServiceUnavailable, message, "come back after the time given")
	r.RetryAfter = after
	return r
}

// undecided is the answer when it is not known whether the request ran or will run.
func undecided(kind outcome.Kind, status int, message string, err error) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: kind, Outcome: outcome.MayHaveRun, Status: status, Message: message, Err: err,
		Remedy: "repeat the request if it may run twice",
	}
}
