package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// probeTimeout limits a probe of an upstream: a round trip between regions and a short queue.
	probeTimeout = 400 * time.Millisecond
	// probeTTL is how long the result of a probe is reused for other runs at the same upstream.
	probeTTL = 400 * time.Millisecond
	// minSilentUpstreams is the number of silent upstreams from which a common cause is considered.
	minSilentUpstreams = 3
)

// probe is a check whether an upstream still responds, shared by all runs that wait for it.
type probe struct {
	done     chan struct{}
	finished time.Time
	alive    bool
}

// isResponsive reports whether an upstream whose streams are silent still responds to a status request. Healthy
// upstreams fall silent, too: while they load weights, preempt texts or work off a queue.
func (g *Gateway) isResponsive(ctx context.Context, u upstreams.Entry) bool {
	g.mu.Lock()
	if g.isLocallySlow() {
		g.mu.Unlock()
		return true
	}
	p, ok := g.probes[u.ID]
	if !ok || !p.finished.IsZero() && time.Since(p.finished) > probeTTL {
		p = &probe{done: make(chan struct{})}
		g.probes[u.ID] = p
		go g.runProbe(u, p)
	}
	g.mu.Unlock()
	select {
	case <-p.done:
		return p.alive
	case <-ctx.Done():
		return true // the run has already ended
	}
}

// isLocallySlow reports whether so many upstreams fell silent at the same time that this process is probably the slow
// one. The caller holds g.mu.
func (g *Gateway) isLocallySlow() bool {
	silent := 0
	for _, p := range g.probes {
		if p.finished.IsZero() || !p.alive && time.Since(p.finished) < probeTTL {
			silent++
		}
	}
	return silent >= minSilentUpstreams && 2*silent >= len(g.inFlight)
}

// runProbe requests the status of an upstream. Any response counts as responsive.
func (g *Gateway) runProbe(u upstreams.Entry, p *probe) {
	ctx, cancel := context.WithTimeout(g.workCtx, probeTimeout)
	defer cancel()
	report, err := g.report(ctx, u)
	g.metrics.probes.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Bool("loading", report.Loading).Int("running", report.Running).
		Int("queued", report.Queued).AnErr("error", err).Msg("probed a silent upstream")
	g.mu.Lock()
	p.alive, p.finished = err == nil, time.Now()
	g.mu.Unlock()
	close(p.done)
}
