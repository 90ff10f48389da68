package agent

import (
	"errors"
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/fencing"
	"github.com/radishshelf/radishshelf/rollout"
)

// Delays between two reconciliations.
const (
	reconcileInterval  = time.Second
	maxOrderRetryDelay = 30 * time.Second
)

// swapError wraps the error of a failed swap.
type swapError struct{ cause error }

func (e *swapError) Error() string { return fmt.Sprintf("swap weights: %v", e.cause) }

func (e *swapError) Unwrap() error { return e.cause }

// orderBackoff computes the delay before the next reconciliation. A failed swap is retried sooner than a failed
// staging, because a swap is short and the other engines already serve the version.
type orderBackoff struct {
	token fencing.Token
	// swapFailures and otherFailures count consecutive failures under token.
	swapFailures, otherFailures int
}

// nextDelay returns the delay after a reconciliation that ended with err. random is from 0 to 1.
func (b *orderBackoff) nextDelay(token fencing.Token, err error, random float64) time.Duration {
	if token != b.token {
		*b = orderBackoff{token: token}
	}
	var swapErr *swapError
	switch {
	case errors.Is(err, errVersionUnknown):
		// The failure counts are kept: an engine that does not respond to probes has not recovered.
		return reconcileInterval
	case err == nil, errors.Is(err, errSuperseded):
		b.swapFailures, b.otherFailures = 0, 0
		return reconcileInterval
	case errors.As(err, &swapErr):
		b.swapFailures++
		return rollout.SwapRetryDelay(b.swapFailures, random)
	default:
		b.otherFailures++
		b.swapFailures = 0
		return min(reconcileInterval<<min(b.otherFailures-1, 5), maxOrderRetryDelay)
	}
}
