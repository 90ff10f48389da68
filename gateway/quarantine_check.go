package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// probeClaimTimeout limits the store write that claims a probe; such a write usually takes a few tens of milliseconds.
const probeClaimTimeout = 300 * time.Millisecond

// checkQuarantine decides whether a request may run now, given its earlier attempts at all hosts. It returns how the
// request may run, or an error if it is refused.
func (g *Gateway) checkQuarantine(ctx context.Context, req *upstreamcall.Request) (quarantine.Action, error) {
	g.mu.Lock()
	if g.suspects.ledger.Len() == 0 {
		g.mu.Unlock()
		return quarantine.Run, nil
	}
	fingerprint := g.fingerprint(req)
	decision := g.suspects.ledger.Check(fingerprint, time.Now())
	g.mu.Unlock()
	if decision.Action == quarantine.Probe && !g.claimProbe(ctx, req, fingerprint) {
		decision.Action, decision.Remaining = quarantine.Refuse, retryAfterStoreOutage
	}
	if decision.Action != quarantine.Refuse {
		return decision.Action, nil
	}
	g.metrics.suspectsRefused.Inc()
	g.opts.Log.Info().Str("request", req.ID).Str("fingerprint", fingerprint).Int("ends", decision.Deaths).
		Dur("remaining_ms", decision.Remaining).Msg("suspect request refused")
	r := unavailable(outcome.KindQuarantined, "upstreams terminated each time this request ran", decision.Remaining)
	r.Remedy = "repeat the request after the given time, or change it"
	return decision.Action, r
}

// mayRunAgain reports whether a request may be sent to another upstream after the given broken runs. If the decision
// depends on it, it waits until the checks whether their upstreams have ended are done.
func (g *Gateway) mayRunAgain(ctx context.Context, runs []brokenRun) bool {
	if len(runs) == 0 {
		return true
	}
	fingerprint := runs[len(runs)-1].fingerprint
	g.mu.Lock()
	mayBeRefused := g.suspects.ledger.MayBeRefused(fingerprint)
	g.mu.Unlock()
	if !mayBeRefused {
		return true
	}
	for _, run := range runs {
		if run.checked == nil {
			continue
		}
		select {
		case <-run.checked:
		case <-ctx.Done():
			return false
		}
	}
	g.mu.Lock()
	decision := g.suspects.ledger.Check(fingerprint, time.Now())
	g.mu.Unlock()
	if decision.Action != quarantine.Refuse && decision.Action != quarantine.Probe {
		return true
	}
	g.opts.Log.Info().Str("fingerprint", fingerprint).Int("ends", decision.Deaths).
		Msg("suspect request not sent to another upstream")
	return false
}
