package gateway

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
)

// Ready returns nil while the process accepts new connections, and otherwise the reason why it does not.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return unavailable(outcome.KindLeaving, "this process is shutting down", retryAfterStart)
	case g.config == nil:
		return unavailable(outcome.KindIsolated, "the configuration has not been read yet", retryAfterStart)
	case !g.upstreamsLoaded:
		return unavailable(outcome.KindIsolated, "the list of upstreams has not been read yet", retryAfterStart)
	case !g.jobsLoaded:
		return unavailable(outcome.KindIsolated, "the list of batch jobs has not been read yet", retryAfterStart)
	case !g.suspects.loaded:
		return unavailable(outcome.KindIsolated, "the list of suspect requests has not been read yet", retryAfterStart)
	}
	return nil
}

// Leaving reports whether the process is shutting down.
func (g *Gateway) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Limits returns the limits on requests of callers, and the zero value before the configuration has been read.
func (g *Gateway) Limits() serving.Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == nil {
		return serving.Limits{}
	}
	return g.config.Limits
}

// Handle serves one request of a caller and logs the result.
func (g *Gateway) Handle(ctx context.Context, r *call.Request) (*call.Response, error) {
	response, err := g.handle(ctx, r)
	g.logResponse(r, response, err)
	return response, err
}

func (g *Gateway) handle(ctx context.Context, r *call.Request) (*call.Response, error) {
	auth, err := g.authorize(r.Host, r.Path, r.Key)
	if err != nil {
		return nil, err
	}
	switch {
	case auth.route.Kind == serving.Rollout && !auth.route.Streaming:
		if r.Method != http.MethodPost {
			return nil, newRefusal(outcome.KindMethodNotAllowed, http.StatusMethodNotAllowed, "the method is not allowed for batch jobs", "use POST")
		}
		return g.submit(ctx, r, auth)
	case auth.route.Streaming:
		return g.stream(ctx, r, auth)
	default:
		return g.forward(ctx, r, auth)
	}
}
