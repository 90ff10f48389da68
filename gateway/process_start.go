package gateway

import (
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
)

// processStart returns when this process started, on the store's clock; 0 before the first response of the store. It
// never changes afterwards, so that all hosts order successors by the same value. The caller holds g.mu.
func (g *Gateway) processStart() time.Duration {
	if g.startedAtStore == 0 && !g.clockAt.IsZero() {
		g.startedAtStore = g.storeClock() - time.Since(g.startedAt)
	}
	return g.startedAtStore
}

// judgePreviousProcess finds out from the heartbeat that an earlier process of this host left in the store whether it
// ended as planned: such a process removes its heartbeat, or has at least announced that it leaves.
func (g *Gateway) judgePreviousProcess(rows []hosting.StoredRow) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.previousJudged = true
	for _, r := range rows {
		var b presence.Heartbeat
		if err := json.Unmarshal(r.Value, &b); err != nil {
			g.skipRow(r.RowKey, err)
			continue
		}
		if r.Version != 0 && b.Incarnation != g.opts.Incarnation && !b.Leaving {
			g.afterCrash = true
			g.opts.Log.Info().Str("incarnation", b.Incarnation).
				Msg("the process before this one ended without a planned stop")
		}
	}
}
