package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
)

// beatInterval is the time between two heartbeats; three of them fit into deadAfter.
const beatInterval = 750 * time.Millisecond

// beatLoop writes this process's heartbeat until ctx ends.
func (g *Gateway) beatLoop(ctx context.Context) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		g.writeBeat(ctx, sequence)
		sleep(ctx, beatInterval)
	}
}

func (g *Gateway) writeBeat(ctx context.Context, sequence int64) {
	g.mu.Lock()
	beat := presence.Beat{
		Host: g.opts.Host, Incarnation: g.opts.Incarnation, Address: g.opts.PeerAddress,
		DataCentre: g.opts.DataCentre, Region: g.region(g.opts.DataCentre), Sequence: sequence, Leaving: g.leaving,
		Load: maps.Clone(g.inFlight), Tokens: g.heldTokens(), Processor: g.opts.CPUShare, Items: g.ownedItems(),
	}
	if g.config != nil {
		beat.ConfigVersion = g.config.Version
	}
	g.mu.Unlock()
	maps.DeleteFunc(beat.Load, func(_ string, n int) bool { return n == 0 })
	value, err := json.Marshal(beat)
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("heartbeat not encoded")
		return
	}
	key := hosting.RowKey{Table: beatTable, Key: g.opts.Host}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: key, Value: value}}})
	if err != nil {
		if ctx.Err() == nil {
			g.opts.Log.Info().Err(err).Msg("heartbeat not written")
		}
		return
	}
	g.mu.Lock()
	g.heartbeatStored, g.heartbeatStoredAt, g.heartbeatRowVersion = sequence, time.Now(), result.Version
	g.mu.Unlock()
}

// hearsOthers reports whether the heartbeats of others can be judged: only while the own ones make the round trip through
// the store and the watch. The caller holds the lock.
func (g *Gateway) hearsOthers(now time.Time) bool {
	return now.Sub(g.heartbeatStoredAt) < 2*beatInterval && g.heartbeatSeen >= g.heartbeatStored-1
}

// PeerAddresses returns where the other live processes are reached.
func (g *Gateway) PeerAddresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, b := range g.peers.All() {
		if b.Host != g.opts.Host && b.Address != "" {
			list = append(list, b.Address)
		}
	}
	return list
}
