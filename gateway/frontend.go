package gateway

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
)

// Ready returns nil while the process takes new connections.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return unavailable(outcome.KindLeaving, "this process is about to stop", retryAfterStart)
	case g.config == nil:
		return unavailable(outcome.KindIsolated, "the configuration was not read yet", retryAfterStart)
	case !g.upstreamsLoaded:
		return unavailable(outcome.KindIsolated, "the list of upstreams was not read yet", retryAfterStart)
	case !g.jobsLoaded:
		return unavailable(outcome.KindIsolated, "the list of batch jobs was not read yet", retryAfterStart)
	case !g.suspects.loaded:
		return unavailable(outcome.KindIsolated, "the list of suspect requests was not read yet", retryAfterStart)
	}
	return nil
}

// Leaving reports whether the process is about to stop.
func (g *Gateway) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Limits returns what a caller may send.
func (g *Gateway) Limits() serving.Limits {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config == nil {
		return serving.Limits{}
	}
	return g.config.Limits
}

// Handle answers a request of a caller.
func (g *Gateway) Handle(ctx context.Context, r *call.Request) (*call.Answer, error) {
	answer, err := g.handle(ctx, r)
	g.logAnswer(r, answer, err)
	return answer, err
}

func (g *Gateway) handle(ctx context.Context, r *call.Request) (*call.Answer, error) {
	t, err := g.authorize(r.Host, r.Path, r.Key)
	if err != nil {
		return nil, err
	}
	switch {
	case t.route.Kind == serving.Rollout && !t.route.Streaming:
		if r.Method != http.MethodPost {
			return nil, newRefusal(outcome.KindMethodNotAllowed, http.StatusMethodNotAllowed, "batch jobs are posted", "use POST")
		}
		return g.submit(ctx, r, t)
	case t.route.Streaming:
		return g.stream(ctx, r, t)
	default:
		return g.forward(ctx, r, t)
	}
}
