package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/upstreams"
)

// memoryTimeout bounds the question for the memory of an engine: a round trip between regions and a short queue.
const memoryTimeout = time.Second

// memoryOf returns the memory of an engine in tokens as far as it is known, and 0 otherwise. The caller holds the lock.
func (g *Gateway) memoryOf(e upstreams.Entry, now time.Time) int {
	book, ok := g.memory[e.Service]
	if !ok {
		book = &placement.EngineMemory[incarnation]{}
		g.memory[e.Service] = book
	}
	tokens, ask := book.Lookup(incarnationOf(e), now)
	if ask {
		g.ownedWG.Go(func() { g.askMemory(book, e) })
	}
	return tokens
}

func (g *Gateway) askMemory(book *placement.EngineMemory[incarnation], e upstreams.Entry) {
	ctx, cancel := context.WithTimeout(g.work, memoryTimeout)
	defer cancel()
	report, err := g.opts.Upstreams.Report(ctx, e)
	g.met.probes.Inc()
	g.opts.Log.Info().Str("upstream", e.ID).Int("memory_tokens", report.MemoryTokens).AnErr("error", err).
		Msg("upstream asked for its memory")
	g.mu.Lock()
	defer g.mu.Unlock()
	book.RecordResponse(incarnationOf(e), report.MemoryTokens)
	book.Retain(func(i incarnation) bool {
		known, ok := g.upstreams.Get(i.id)
		return ok && known.Born == i.born
	})
}

// heldTokens returns what the texts of this process hold at each upstream. The caller holds the lock.
func (g *Gateway) heldTokens() map[string]int {
	held := map[string]int{}
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			held[run.upstream.ID] += p.HeldTokens()
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
