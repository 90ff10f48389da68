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
	// endCheckValid is how long the answer holds for other runs that broke off there; one crash ends many at once.
	endCheckValid = 200 * time.Millisecond
)

// endCheck is the question whether the upstream of a broken run still listens, shared by all runs that broke off together.
type endCheck struct {
	done chan struct{}
	at   time.Time
}

// checkEnd asks whether an upstream still listens, without waiting. done is closed once that is known or cannot be found
// out. The caller holds the lock.
func (g *Gateway) checkEnd(u upstreams.Entry) (done <-chan struct{}) {
	now := time.Now()
	for end, c := range g.suspects.asked {
		if now.Sub(c.at) > endCheckValid+endCheckTimeout {
			delete(g.suspects.asked, end)
		}
	}
	if c, ok := g.suspects.asked[endOf(u)]; ok && now.Sub(c.at) < endCheckValid {
		return c.done
	}
	c := &endCheck{done: make(chan struct{}), at: now}
	g.suspects.asked[endOf(u)] = c
	go func() {
		defer close(c.done)
		g.guarded("end check", func() { g.dial(u) })
	}()
	return c.done
}

func (g *Gateway) dial(u upstreams.Entry) {
	ctx, cancel := context.WithTimeout(g.work, endCheckTimeout)
	defer cancel()
	err := g.opts.Upstreams.Dial(ctx, u)
	g.met.endChecks.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).AnErr("error", err).Msg("upstream of a broken run asked")
	var failure *upstreamcall.Failure
	if errors.As(err, &failure) && failure.Reason == upstreamcall.NoListener {
		g.mu.Lock()
		g.upstreamEnded(u, "no listener")
		g.mu.Unlock()
	}
}
