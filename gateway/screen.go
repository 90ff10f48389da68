package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// probeClaimTimeout bounds the announcement of a probe; a write takes some ten milliseconds.
const probeClaimTimeout = 300 * time.Millisecond

// checkQuarantine decides whether a request may run now, by what is known of it from earlier attempts at all hosts. It returns how
// the request may run, or the refusal.
func (g *Gateway) checkQuarantine(ctx context.Context, req *upstreamcall.Request) (quarantine.Action, error) {
	g.mu.Lock()
	if g.suspects.ledger.Len() == 0 {
		g.mu.Unlock()
		return quarantine.Run, nil
	}
	fingerprint := g.fingerprint(req)
	verdict := g.suspects.ledger.Check(fingerprint, time.Now())
	g.mu.Unlock()
	if verdict.Action == quarantine.Probe && !g.claimProbe(ctx, req, fingerprint) {
		verdict.Action, verdict.Remaining = quarantine.Refuse, retryAfterStoreOutage
	}
	if verdict.Action != quarantine.Refuse {
		return verdict.Action, nil
	}
	g.metrics.suspectsRefused.Inc()
	g.opts.Log.Info().Str("request", req.ID).Str("fingerprint", fingerprint).Int("ends", verdict.Deaths).
		Dur("remaining_ms", verdict.Remaining).Msg("request held back")
	r := unavailable(outcome.KindQuarantined, "upstreams ended each time this request ran", verdict.Remaining)
	r.Remedy = "come back after the time given, or change the request"
	return verdict.Action, r
}

// mayRunAgain reports whether a request whose last runs broke off may run at one more upstream. It waits until it is known
// whether the upstreams of these runs have ended where that decides.
func (g *Gateway) mayRunAgain(ctx context.Context, runs []brokenRun) bool {
	if len(runs) == 0 {
		return true
	}
	fingerprint := runs[len(runs)-1].fingerprint
	g.mu.Lock()
	mayBeHeld := g.suspects.ledger.MayBeHeld(fingerprint)
	g.mu.Unlock()
	if !mayBeHeld {
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
	verdict := g.suspects.ledger.Check(fingerprint, time.Now())
	g.mu.Unlock()
	if verdict.Action != quarantine.Refuse && verdict.Action != quarantine.Probe {
		return true
	}
	g.opts.Log.Info().Str("fingerprint", fingerprint).Int("ends", verdict.Deaths).Msg("request not sent to one more upstream")
	return false
}
