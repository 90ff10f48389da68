package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/upstreams"
)

// memoryQueryTimeout limits a query for the memory of an engine: a round trip between regions and a short queue.
const memoryQueryTimeout = time.Second

// engineMemory returns the memory of an engine in tokens, 0 if it is unknown, and starts a query if one is due. The
// caller holds g.mu.
func (g *Gateway) engineMemory(e upstreams.Entry, now time.Time) int {
	memory, ok := g.engineMemories[e.Service]
	if !ok {
		memory = &placement.EngineMemory[upstreams.Incarnation]{}
		g.engineMemories[e.Service] = memory
	}
	tokens, due := memory.Lookup(e.Incarnation(), now)
	switch {
	case due && g.limits.Allowed(e, now) <= 0:
		memory.RecordResponse(e.Incarnation(), 0) // a text needs the engine's next request more
	case due:
		g.workWG.Go(func() { g.queryMemory(memory, e) })
	}
	return tokens
}

// queryMemory asks an engine for its memory and records the result. It also drops engines that no longer exist.
func (g *Gateway) queryMemory(memory *placement.EngineMemory[upstreams.Incarnation], e upstreams.Entry) {
	ctx, cancel := context.WithTimeout(g.workCtx, memoryQueryTimeout)
	defer cancel()
	report, err := g.report(ctx, e)
	g.metrics.probes.Inc()
	g.opts.Log.Info().Str("upstream", e.ID).Int("memory_tokens", report.MemoryTokens).AnErr("error", err).
		Msg("queried the memory of an upstream")
	g.mu.Lock()
	defer g.mu.Unlock()
	memory.RecordResponse(e.Incarnation(), report.MemoryTokens)
	memory.Retain(func(i upstreams.Incarnation) bool {
		known, ok := g.upstreams.Get(i.ID)
		return ok && known.Born == i.Born
	})
}

// heldTokens returns how many tokens the texts of this process occupy in the memory of each upstream. The caller holds
// g.mu.
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

// textEstimates is what was learned from the complete texts of a model.
type textEstimates struct {
	rate   batch.TokenRate
	length batch.TextLength
}

// learn updates the estimates with a complete text.
func (e *textEstimates) learn(p *batch.Progress) {
	e.rate.Learn(p.Item.ExpectedTokens(), p.Text.LastEventID())
	e.length.Learn(p.Text.LastEventID())
}

// textEstimatesOf returns the estimates for a model. The caller holds g.mu.
func (g *Gateway) textEstimatesOf(model string) *textEstimates {
	estimates, ok := g.textEstimates[model]
	if !ok {
		estimates = &textEstimates{}
		g.textEstimates[model] = estimates
	}
	return estimates
}
