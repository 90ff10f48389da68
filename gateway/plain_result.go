package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
)

// finalResponse returns the response or error for the caller when no further send is possible.
func (f *plainRequest) finalResponse() (*call.Response, error) {
	switch {
	case f.lastResponse != nil:
		return f.lastResponse, nil
	case len(f.tried) == 0 && f.lastRefusal != nil:
		return nil, f.lastRefusal
	case len(f.tried) == 0:
		return nil, unavailable(outcome.KindOverloaded, "no upstream of the service accepted the request", retryAfterBusy)
	default:
		return nil, outcomeUnknown(outcome.KindUpstreamFailed, http.StatusBadGateway,
			"the upstream did not return a complete response", f.lastFailure)
	}
}

// timeoutError returns the error for the caller when the deadline has passed or the caller has disconnected.
func (f *plainRequest) timeoutError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return f.stopError()
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		for _, u := range f.openSends {
			f.g.recordAbandonedRun(f.template, u, 0)
		}
		return outcomeUnknown(outcome.KindDeadline, http.StatusBadGateway, "the caller disconnected", ctx.Err())
	}
	for id := range f.tried {
		f.g.opts.Log.Info().Str("request", f.request.ID).Str("upstream", id).Int("sends", f.sends).
			Msg("no response from upstream before the deadline")
	}
	if f.pending == 0 && len(f.tried) == 0 {
		return unavailable(outcome.KindDeadline, "no upstream accepted the request before its deadline", retryAfterBusy)
	}
	return outcomeUnknown(outcome.KindDeadline, http.StatusGatewayTimeout, "no response before the deadline", f.lastFailure)
}

// stopError returns the error for a caller whose request is in flight when the process has to stop.
func (f *plainRequest) stopError() error {
	f.g.opts.Log.Warn().Str("request", f.request.ID).Int("sends", f.sends).Msg("request ended because the process stops")
	if f.pending == 0 && len(f.tried) == 0 {
		return unavailable(outcome.KindLeaving, "this process stops", retryAfterStart)
	}
	return outcomeUnknown(outcome.KindLeaving, http.StatusBadGateway, "this process stopped before the response", f.lastFailure)
}
