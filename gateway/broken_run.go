package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// brokenRun is a run of a request that ended without a whole answer.
type brokenRun struct {
	fingerprint string
	// checked is closed once it is known, or cannot be found out, whether the upstream still listens; nil when nobody asks.
	checked <-chan struct{}
}

// recordRun takes the end of a run of a request. Items are no such requests: they are owed whatever happened under them.
// progress is how far the text had come.
func (g *Gateway) recordRun(ctx context.Context, req *upstreamcall.Request, failure *upstreamcall.Failure, progress int) brokenRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	if failure == nil {
		g.clearSuspect(req)
		return brokenRun{}
	}
	if !mayHaveCrashed(ctx, failure) {
		return brokenRun{}
	}
	run := brokenRun{fingerprint: g.fingerprint(req)}
	if run.fingerprint == "" {
		g.opts.Log.Warn().Str("request", req.ID).Msg("broken run not remembered, the key of fingerprints was not read yet")
		return run
	}
	if g.suspects.ledger.Broke(run.fingerprint, endOf(req.Upstream), progress, time.Now()) {
		g.recordSuspectEnd(run.fingerprint, req.Upstream)
		return run
	}
	if failure.Reason != upstreamcall.Silent {
		run.checked = g.startEndCheck(req.Upstream)
	}
	return run
}

// recordAbandonedRun takes a run whose caller left before any answer. The upstream may have gone silent under it, which its entry
// shows later.
func (g *Gateway) recordAbandonedRun(req *upstreamcall.Request, u upstreams.Entry, progress int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fingerprint := g.fingerprint(req); fingerprint != "" && g.suspects.ledger.Broke(fingerprint, endOf(u), progress, time.Now()) {
		g.recordSuspectEnd(fingerprint, u)
	}
}

// mayHaveCrashed reports whether a failure may be the end of the upstream.
func mayHaveCrashed(ctx context.Context, failure *upstreamcall.Failure) bool {
	if failure.Outcome == outcome.NotRun {
		return false
	}
	switch failure.Reason {
	case upstreamcall.Broken, upstreamcall.Stale:
		return ctx.Err() == nil // else the run was ended from here
	case upstreamcall.Silent:
		return true
	default:
		return false
	}
}

// clearSuspect clears a request. The caller holds the lock.
func (g *Gateway) clearSuspect(req *upstreamcall.Request) {
	if g.suspects.ledger.Idle() {
		return // no need of the fingerprint
	}
	fingerprint := g.fingerprint(req)
	if g.suspects.ledger.Answered(fingerprint) {
		g.metrics.suspectsCleared.Inc()
		g.suspects.markChanged(fingerprint)
		g.opts.Log.Info().Str("request", req.ID).Str("fingerprint", fingerprint).Str("upstream", req.Upstream.ID).
			Msg("request cleared by a whole answer")
	}
}

// detectUpstreamEnd takes a failed send as evidence about its upstream, whatever the request was. The caller holds the lock.
func (g *Gateway) detectUpstreamEnd(u upstreams.Entry, failure *upstreamcall.Failure) {
	switch {
	case failure == nil:
	case failure.Reason == upstreamcall.NoListener:
		g.recordUpstreamEnd(u, "no listener")
	case failure.Reason == upstreamcall.Misdirected:
		g.recordUpstreamEnd(u, "address in use by another")
	}
}
