package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the machine-readable reason of a refusal. Its values are stable.
type Kind string

// Kinds of refusal that callers may see.
const (
	KindUnauthorized     Kind = "unauthorized"
	KindKeyWithdrawn     Kind = "key_withdrawn"
	KindNotFound         Kind = "not_found"
	KindInvalid          Kind = "invalid_request"
	KindCredentialLeak   Kind = "credential_in_request"
	KindOverQuota        Kind = "over_quota"
	KindOverloaded       Kind = "overloaded"
	KindDeadline         Kind = "deadline"
	KindNoUpstream       Kind = "no_upstream"
	KindNoHome           Kind = "no_upstream_at_home"
	KindEvacuated        Kind = "evacuated"
	KindLeaving          Kind = "leaving"
	KindQuarantined      Kind = "quarantined"
	KindIsolated         Kind = "isolated"
	KindStoreDown        Kind = "store_unavailable"
	KindDuplicate        Kind = "duplicate"
	KindUpstreamFailed   Kind = "upstream_failed"
	KindFenced           Kind = "fenced"
	KindConflict         Kind = "conflict"
	KindStale            Kind = "stale"
	KindPayloadTooLarge  Kind = "payload_too_large"
	KindMethodNotAllowed Kind = "method_not_allowed"
)

// Refusal is the final response to a request that is not served.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	// Message says what happened, and Remedy how the caller can proceed.
	Message string
	Remedy  string
	// RetryAfter is the time after which the caller may retry. 0 means that a retry cannot succeed.
	RetryAfter time.Duration
	// Status is the HTTP status code sent to the caller.
	Status int
	Err    error
}

// Error implements error.
func (r *Refusal) Error() string {
	msg := fmt.Sprintf("%s: %s (%s)", r.Kind, r.Message, r.Outcome)
	if r.Remedy != "" {
		msg += "; " + r.Remedy
	}
	return msg
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// AsRefusal returns the Refusal that err is or wraps.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
