package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// endCheckTimeout limits the check whether an upstream still listens; connecting to another region takes 40 ms.
	endCheckTimeout = 300 * time.Millisecond
	// endCheckTTL is how long the result of a check is reused for other broken runs at the upstream; one crash breaks many
	// runs at once.
	endCheckTTL = 200 * time.Millisecond
)

// endCheck is a check whether the upstream of a broken run still listens. Runs that broke at the same time share it.
type endCheck struct {
	done      chan struct{}
	startedAt time.Time
}

// startEndCheck starts a check whether an upstream still listens, or joins a recent one, and returns without waiting.
// done is closed when the check is done, with or without a result. The caller holds g.mu.
func (g *Gateway) startEndCheck(u upstreams.Entry) (done <-chan struct{}) {
	now := time.Now()
	for end, c := range g.suspects.endChecks {
		if now.Sub(c.startedAt) > endCheckTTL+endCheckTimeout {
			delete(g.suspects.endChecks, end)
		}
	}
	if c, ok := g.suspects.endChecks[endOf(u)]; ok && now.Sub(c.startedAt) < endCheckTTL {
		return c.done
	}
	c := &endCheck{done: make(chan struct{}), startedAt: now}
	g.suspects.endChecks[endOf(u)] = c
	go func() {
		defer close(c.done)
		g.recoverPanic("end check", func() { g.runEndCheck(u) })
	}()
	return c.done
}

// runEndCheck tries to connect to an upstream and records its end if nothing listens at its address.
func (g *Gateway) runEndCheck(u upstreams.Entry) {
	if g.isEvacuated(u) {
		return
	}
	ctx, cancel := context.WithTimeout(g.workCtx, endCheckTimeout)
	defer cancel()
	err := g.opts.Upstreams.Dial(ctx, u)
	g.metrics.endChecks.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).AnErr("error", err).
		Msg("checked whether the upstream of a broken run still listens")
	var failure *upstreamcall.Failure
	if errors.As(err, &failure) && failure.Reason == upstreamcall.NoListener {
		g.mu.Lock()
		g.recordUpstreamEnd(u, "no listener")
		g.mu.Unlock()
	}
}
