package gateway

import (
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
)

// logResponse logs the response to a caller and counts it.
func (g *Gateway) logResponse(r *call.Request, a *call.Response, err error) {
	took := time.Since(r.Received)
	g.metrics.requestTime.Update(took.Seconds())
	g.mu.Lock()
	version := int64(0)
	if g.config != nil {
		version = g.config.Version
	}
	g.mu.Unlock()
	line := g.opts.Log.Info().Str("request", r.ID).Str("domain", r.Host).Str("path", r.Path).
		Int64("config_version", version).Dur("took_ms", took)
	if err == nil {
		g.metrics.requests("answered").Inc()
		line.Int("status", a.Status).Str("upstream", a.Upstream).Int("sends", a.Sends).Msg("request answered")
		return
	}
	var refused *outcome.Refusal
	if !errors.As(err, &refused) {
		g.metrics.requests("error").Inc()
		line.Err(err).Msg("request failed")
		return
	}
	g.metrics.requests(string(refused.Kind)).Inc()
	line.Int("status", refused.Status).Str("kind", string(refused.Kind)).Str("ran", refused.Outcome.String()).
		Str("reason", refused.Message).AnErr("cause", refused.Err).Dur("retry_after_ms", refused.RetryAfter).
		Msg("request refused")
}
