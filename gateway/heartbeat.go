package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
)

// heartbeatInterval is the time between two heartbeats. Three of them fit into the silence after which a process
// counts as dead.
const heartbeatInterval = 750 * time.Millisecond

// heartbeatLoop writes this process's heartbeat until ctx ends, and at once when the process begins to leave.
func (g *Gateway) heartbeatLoop(ctx context.Context) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		g.writeHeartbeat(ctx, sequence)
		select {
		case <-ctx.Done():
		case <-g.heartbeatDue:
		case <-time.After(heartbeatInterval):
		}
	}
}

func (g *Gateway) writeHeartbeat(ctx context.Context, sequence int64) {
	g.mu.Lock()
	isFirst := g.heartbeatRowVersion == 0 && !g.previousJudged
	heartbeat := presence.Heartbeat{
		Host: g.opts.Host, Incarnation: g.opts.Incarnation, Address: g.opts.PeerAddress,
		DataCentre: g.opts.DataCentre, Region: g.region(g.opts.DataCentre), Sequence: sequence, Leaving: g.leaving,
		StartedAt: g.processStart(), AfterCrash: g.afterCrash,
		Load: maps.Clone(g.inFlight), Tokens: g.heldTokens(), CPUShare: g.opts.CPUShare, Items: g.unfinishedItems(),
	}
	if g.config != nil {
		heartbeat.ConfigVersion = g.config.Version
	}
	now := time.Now()
	heartbeat.Limits, heartbeat.Evacuations = g.limitsReport(now), g.evacuations.Report(now)
	g.recordHeartbeatTime(sequence, now)
	g.mu.Unlock()
	maps.DeleteFunc(heartbeat.Load, func(_ string, n int) bool { return n == 0 })
	value, err := json.Marshal(heartbeat)
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("cannot encode heartbeat")
		return
	}
	key := hosting.RowKey{Table: heartbeatTable, Key: g.opts.Host}
	txn := hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: key, Value: value}}}
	if isFirst {
		txn.Conditions = []hosting.StoredRow{{RowKey: key}} // a planned stop removes the heartbeat
	}
	result, err := g.opts.Rows.Commit(ctx, txn)
	if err == nil && !result.Committed {
		g.judgePreviousProcess(result.Current)
		g.writeHeartbeat(ctx, sequence)
		return
	}
	if err != nil {
		if ctx.Err() == nil {
			g.opts.Log.Info().Err(err).Msg("cannot write heartbeat")
		}
		return
	}
	g.mu.Lock()
	g.heartbeatStored, g.heartbeatStoredAt, g.heartbeatRowVersion = sequence, time.Now(), result.Version
	g.mu.Unlock()
}

// maxHeartbeatTimes bounds how many heartbeats are awaited from the watch; more are lost in an outage of the store.
const maxHeartbeatTimes = 64

// recordHeartbeatTime notes when a heartbeat was written. The caller holds g.mu.
func (g *Gateway) recordHeartbeatTime(sequence int64, now time.Time) {
	g.heartbeatTimes[sequence] = now
	delete(g.heartbeatTimes, sequence-maxHeartbeatTimes)
}

// takeHeartbeatTime returns when a heartbeat was written that the watch has returned; zero if that is not known. The caller
// holds g.mu.
func (g *Gateway) takeHeartbeatTime(sequence int64) time.Time {
	at := g.heartbeatTimes[sequence]
	maps.DeleteFunc(g.heartbeatTimes, func(s int64, _ time.Time) bool { return s <= sequence })
	return at
}

// isPeerViewCurrent reports whether the silence of other processes can be judged: only while this process's own
// heartbeats make the round trip through the store and the watch. The caller holds g.mu.
func (g *Gateway) isPeerViewCurrent(now time.Time) bool {
	return now.Sub(g.heartbeatStoredAt) < 2*heartbeatInterval && g.heartbeatSeen >= g.heartbeatStored-1
}

// Peer is another live process.
type Peer struct {
	// Address is the host:port at which peers reach the process, and Region is where it is.
	Address, Region string
}

// Peers returns the other live processes.
func (g *Gateway) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Peer
	for _, b := range g.peers.All() {
		if b.Host != g.opts.Host && b.Address != "" {
			list = append(list, Peer{Address: b.Address, Region: b.Region})
		}
	}
	return list
}
