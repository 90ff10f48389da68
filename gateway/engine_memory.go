package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// memoryTimeout bounds the question for the memory of an engine: a round trip between regions and a short queue.
	memoryTimeout = time.Second
	// memoryRetry is how long an engine that did not answer is left alone.
	memoryRetry = 5 * time.Second
)

// engineMemory is how many tokens an engine may hold, as it said.
type engineMemory struct {
	of incarnation
	// tokens is 0 until the engine has answered; askedAt is when it was asked last.
	tokens  int
	askedAt time.Time
}

// memoryOf returns the memory of an engine in tokens, and 0 while it is not known. An engine is asked once in its life, and
// again while it does not answer. The caller holds the lock.
func (g *Gateway) memoryOf(e upstreams.Entry, now time.Time) int {
	m := g.memory[e.ID]
	if m.of == incarnationOf(e) && (m.tokens > 0 || now.Sub(m.askedAt) < memoryRetry) {
		return m.tokens
	}
	g.memory[e.ID] = engineMemory{of: incarnationOf(e), askedAt: now}
	g.ownedWG.Go(func() { g.askMemory(e) })
	return 0
}

func (g *Gateway) askMemory(e upstreams.Entry) {
	ctx, cancel := context.WithTimeout(g.work, memoryTimeout)
	defer cancel()
	report, err := g.opts.Upstreams.Report(ctx, e)
	g.met.probes.Inc()
	g.opts.Log.Info().Str("upstream", e.ID).Int("memory_tokens", report.MemoryTokens).AnErr("error", err).
		Msg("upstream asked for its memory")
	if err != nil {
		return // asked again after memoryRetry
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.memory[e.ID]; m.of == incarnationOf(e) {
		m.tokens = report.MemoryTokens
		g.memory[e.ID] = m
	}
}

// heldTokens returns what the texts of this process hold at each upstream. The caller holds the lock.
func (g *Gateway) heldTokens() map[string]int {
	held := map[string]int{}
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			held[run.upstream.ID] += p.Held()
		}
	}
	return held
}

// rateOf returns the rate of tokens to events of a model. The caller holds the lock.
func (g *Gateway) rateOf(model string) *batch.TokenRate {
	r, ok := g.rates[model]
	if !ok {
		r = &batch.TokenRate{}
		g.rates[model] = r
	}
	return r
}
