package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// probeTimeout bounds a question whether an upstream still answers: a round trip between regions and a short queue.
	probeTimeout = 400 * time.Millisecond
	// probeValid is how long the answer holds for the other runs at the same upstream.
	probeValid = 400 * time.Millisecond
	// minSilent is the number of upstreams from which a common cause is looked for.
	minSilent = 3
)

// probe is the question whether an upstream still answers, shared by all runs that wait for it.
type probe struct {
	done     chan struct{}
	finished time.Time
	alive    bool
}

// answers reports whether an upstream whose streams are silent still answers. Loading weights, preemption and queues
// silence sound upstreams, too.
func (g *Gateway) answers(ctx context.Context, u upstreams.Entry) bool {
	g.mu.Lock()
	if g.isSlowItself() {
		g.mu.Unlock()
		return true
	}
	p, ok := g.probes[u.ID]
	if !ok || !p.finished.IsZero() && time.Since(p.finished) > probeValid {
		p = &probe{done: make(chan struct{})}
		g.probes[u.ID] = p
		go g.runProbe(u, p)
	}
	g.mu.Unlock()
	select {
	case <-p.done:
		return p.alive
	case <-ctx.Done():
		return true // the run has ended otherwise
	}
}

// isSlowItself reports whether so many upstreams went silent at once that this process is probably the one that is slow.
// The caller holds the lock.
func (g *Gateway) isSlowItself() bool {
	silent := 0
	for _, p := range g.probes {
		if p.finished.IsZero() || !p.alive && time.Since(p.finished) < probeValid {
			silent++
		}
	}
	return silent >= minSilent && 2*silent >= len(g.inFlight)
}

func (g *Gateway) runProbe(u upstreams.Entry, p *probe) {
	ctx, cancel := context.WithTimeout(g.work, probeTimeout)
	defer cancel()
	report, err := g.opts.Upstreams.Report(ctx, u)
	g.met.probes.Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Bool("loading", report.Loading).Int("running", report.Running).
		Int("queued", report.Queued).AnErr("error", err).Msg("silent upstream asked")
	g.mu.Lock()
	p.alive, p.finished = err == nil, time.Now()
	g.mu.Unlock()
	close(p.done)
}
