package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// brokenRun is a run of a request that ended without a complete response.
type brokenRun struct {
	fingerprint string
	// checked is closed when the check whether the upstream still listens is done, with or without a result; nil if there
	// is no check.
	checked <-chan struct{}
}

// recordRun records how a run of a request ended, for the detection of requests that crash upstreams. It is not called
// for batch items, which must be completed whatever happened during earlier runs. progress is the ID of the last event
// of a stream.
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
		g.opts.Log.Warn().Str("request", req.ID).Msg("broken run not recorded; the fingerprint key has not been read yet")
		return run
	}
	if g.suspects.ledger.RecordBrokenRun(run.fingerprint, endOf(req.Upstream), progress, time.Now()) {
		g.recordSuspectEnd(run.fingerprint, req.Upstream)
		return run
	}
	if failure.Reason != upstreamcall.Silent {
		run.checked = g.startEndCheck(req.Upstream)
	}
	return run
}

// recordAbandonedRun records a run whose caller disconnected before any response. The upstream may have hung because of
// it, which only its registry entry shows later.
func (g *Gateway) recordAbandonedRun(req *upstreamcall.Request, u upstreams.Entry, progress int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fingerprint := g.fingerprint(req); fingerprint != "" && g.suspects.ledger.RecordBrokenRun(fingerprint, endOf(u), progress, time.Now()) {
		g.recordSuspectEnd(fingerprint, u)
	}
}

// mayHaveCrashed reports whether a failure may mean that the upstream has ended.
func mayHaveCrashed(ctx context.Context, failure *upstreamcall.Failure) bool {
	if failure.Outcome == outcome.NotRun {
		return false
	}
	switch failure.Reason {
	case upstreamcall.Broken, upstreamcall.Stale:
		return ctx.Err() == nil // otherwise this process cancelled the run
	case upstreamcall.Silent:
		return true
	default:
		return false
	}
}

// clearSuspect closes the case of a request that got a complete response. The caller holds g.mu.
func (g *Gateway) clearSuspect(req *upstreamcall.Request) {
	if g.suspects.ledger.Idle() {
		return // saves computing the fingerprint
	}
	fingerprint := g.fingerprint(req)
	if g.suspects.ledger.RecordResponse(fingerprint) {
		g.metrics.suspectsCleared.Inc()
		g.suspects.markChanged(fingerprint)
		g.opts.Log.Info().Str("request", req.ID).Str("fingerprint", fingerprint).Str("upstream", req.Upstream.ID).
			Msg("suspect request cleared by a complete response")
	}
}

// detectUpstreamEnd checks a failed send for evidence that its upstream has ended, whatever the request was. The caller
// holds g.mu.
func (g *Gateway) detectUpstreamEnd(u upstreams.Entry, failure *upstreamcall.Failure) {
	switch {
	case failure == nil:
	case failure.Reason == upstreamcall.Unreachable:
		g.observeUnreachable(u)
	case failure.Reason == upstreamcall.NoListener:
		g.observeUnreachable(u)
		g.recordUpstreamEnd(u, "no listener")
	case failure.Reason == upstreamcall.Misdirected:
		g.recordUpstreamEnd(u, "address in use by another")
	}
}
