package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// endCheckTimeout bounds the question whether an upstream still listens: a connection between regions takes 40 ms.
	endCheckTimeout = 300 * time.Millisecond
	// endCheckTTL is how long the answer holds for other runs that broke off there; one crash ends many at once.
	endCheckTTL = 200 * time.Millisecond
)

// endCheck is the question whether the upstream of a broken run still listens, shared by all runs that broke off together.
type endCheck struct {
	done      chan struct{}
	startedAt time.Time
}

// startEndCheck asks whether an upstream still listens, without waiting. done is closed once that is known or cannot be found
// out. The caller holds the lock.
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

func (g *Gateway) runEndCheck(u upstreams.Entry) {
	ctx, cancel := context.WithTimeout(g.workCtx, endCheckTimeout)
	defer cancel()
	err := g.opts.Upstreams.Dial(ctx, u)
	g.metrics.endChecks.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).AnErr("error", err).Msg("upstream of a broken run asked")
	var failure *upstreamcall.Failure
	if errors.As(err, &failure) && failure.Reason == upstreamcall.NoListener {
		g.mu.Lock()
		g.recordUpstreamEnd(u, "no listener")
		g.mu.Unlock()
	}
}
