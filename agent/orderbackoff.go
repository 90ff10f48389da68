package agent

import (
	"errors"
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/fencing"
	"github.com/radishshelf/radishshelf/rollout"
)

// Pauses between two looks at the wanted state.
const (
	reconcileInterval  = time.Second
	maxOrderRetryDelay = 30 * time.Second
)

// swapError is a swap that failed.
type swapError struct{ cause error }

func (e *swapError) Error() string { return fmt.Sprintf("swap of the weights: %v", e.cause) }

func (e *swapError) Unwrap() error { return e.cause }

// orderBackoff decides when the wanted state is looked at again. A failed swap is repeated sooner than a failed staging,
// because it is short and the other engines serve the version already.
type orderBackoff struct {
	mark fencing.Mark
	// swapFailures and otherFailures count failures in a row under mark.
	swapFailures, otherFailures int
}

// nextDelay returns the pause nextDelay a look that ended with err.
func (p *orderBackoff) nextDelay(mark fencing.Mark, err error, random float64) time.Duration {
	if mark != p.mark {
		*p = orderBackoff{mark: mark}
	}
	var swap *swapError
	switch {
	case errors.Is(err, errVersionUnknown):
		// The failures before still count: an engine that answers no probe has not recovered.
		return reconcileInterval
	case err == nil, errors.Is(err, errSuperseded):
		p.swapFailures, p.otherFailures = 0, 0
		return reconcileInterval
	case errors.As(err, &swap):
		p.swapFailures++
		return rollout.SwapPause(p.swapFailures, random)
	default:
		p.otherFailures++
		p.swapFailures = 0
		return min(reconcileInterval<<min(p.otherFailures-1, 5), maxOrderRetryDelay)
	}
}
