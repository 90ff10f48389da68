package gateway

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Tables of the product.
const (
	beatTable     = "entries"
	jobTable      = "jobs"
	contentTable  = "job_content"
	resultTable   = "job_results"
	progressTable = "job_progress"
	leftTable     = "job_left"
	leaseTable    = "leases"
	usageTable    = "usage_counts"
	sealedTable   = "usage_sealed"
	suspectTable  = "suspects"
)

func (g *Gateway) newWatch(table string, partitioned bool) *watch {
	return &watch{
		table: table, wait: watchWait, partitioned: partitioned, rows: g.opts.Rows, answered: g.storeAnswered,
		guarded: g.recoverPanic,
		failed:  func(err error) { g.storeFailed(table, err) },
	}
}

func (g *Gateway) operatorWatch() *watch {
	w := g.newWatch(g.opts.Codec.OperatorTable(), false)
	w.apply = func(c hosting.RowChange) {
		if !c.Deleted {
			g.takeOperatorRow(c.StoredRow)
		}
	}
	w.reset = func(rows []hosting.StoredRow) {
		for _, r := range rows {
			w.guarded("row of "+w.table, func() { g.takeOperatorRow(r) })
		}
	}
	return w
}

// takeOperatorRow takes a configuration or a named version; neither ever goes back.
func (g *Gateway) takeOperatorRow(r hosting.StoredRow) {
	switch {
	case g.opts.Codec.IsConfig(r.Key):
		g.takeConfig(r.Value)
	case g.opts.Codec.IsModelVersion(r.Key):
		named, err := g.opts.Codec.DecodeModelVersion(r.Key, r.Value)
		if err != nil {
			g.skipRow(r.RowKey, err)
			return
		}
		g.mu.Lock()
		newer := named.Version > g.latestVersions[named.Model]
		if newer {
			g.latestVersions[named.Model] = named.Version
		}
		g.mu.Unlock()
		if newer {
			g.opts.Log.Info().Str("model", named.Model).Int64("version", named.Version).Msg("version named")
		}
	}
}

func (g *Gateway) takeConfig(value []byte) {
	config, err := g.opts.Codec.DecodeConfig(value)
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("configuration skipped, the old one stays in force")
		return
	}
	g.mu.Lock()
	newer := g.config == nil || config.Version > g.config.Version
	if newer {
		g.config = config
	}
	g.mu.Unlock()
	if newer {
		g.opts.Log.Info().Int64("config_version", config.Version).Int("routes", config.RouteCount()).
			Msg("configuration in force")
		g.wakeScheduler()
	}
}

func (g *Gateway) upstreamWatch() *watch {
	w := g.newWatch(g.opts.Codec.UpstreamTable(), false)
	w.apply = func(c hosting.RowChange) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.Deleted {
			g.removeUpstream(c.Key)
			return
		}
		g.putUpstream(c.StoredRow)
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.mu.Lock()
		defer g.mu.Unlock()
		var list []upstreams.Entry
		for _, r := range rows {
			w.guarded("row of "+w.table, func() {
				if e, err := g.opts.Codec.DecodeUpstream(r.Key, r.Value); err == nil {
					list = append(list, e)
				} else {
					g.skipRow(r.RowKey, err)
				}
			})
		}
		g.upstreams.Replace(list, time.Now())
		g.upstreamsLoaded = true
	}
	return w
}

// removeUpstream takes the removal of an entry. One that did not say that it would leave has probably ended. The caller holds
// the lock.
func (g *Gateway) removeUpstream(id string) {
	e, known := g.upstreams.Get(id)
	g.upstreams.Remove(id, time.Now())
	if _, still := g.upstreams.Get(id); known && !still && e.State == upstreams.Ready {
		g.recordUpstreamEnd(e, "entry removed")
	}
}

// putUpstream takes an entry; one that cannot be read names no upstream. The caller holds the lock.
func (g *Gateway) putUpstream(r hosting.StoredRow) {
	e, err := g.opts.Codec.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		g.upstreams.Discard(r.Key)
		g.skipRow(r.RowKey, err)
		return
	}
	old, known := g.upstreams.Get(e.ID)
	g.upstreams.Put(e)
	e, _ = g.upstreams.Get(e.ID) // an upstream that said that it leaves does so whatever its entry says
	if known && old.Born != e.Born {
		delete(g.health, e.ID) // a new incarnation starts with a clean record
		g.recordUpstreamEnd(old, "entry of another incarnation")
	}
	if !known || old.State != e.State || old.Born != e.Born || !maps.Equal(old.Versions, e.Versions) {
		g.opts.Log.Info().Str("upstream", e.ID).Str("service", e.Service).Str("state", string(e.State)).
			Interface("versions", e.Versions).Msg("upstream changed")
		g.wakeScheduler()
	}
}

func (g *Gateway) beatWatch() *watch {
	w := g.newWatch(beatTable, false)
	w.apply = func(c hosting.RowChange) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.Deleted {
			g.peers.Forget(c.Key)
			g.peerLoad.valid = false
			return
		}
		g.hear(c.StoredRow)
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range rows {
			w.guarded("row of "+w.table, func() { g.hear(r) })
		}
	}
	return w
}

// hear takes a heartbeat. The caller holds the lock.
func (g *Gateway) hear(r hosting.StoredRow) {
	var b presence.Beat
	if err := json.Unmarshal(r.Value, &b); err != nil {
		g.skipRow(r.RowKey, err)
		return
	}
	g.peers.Hear(b)
	if b.Host == g.opts.Host && b.Incarnation == g.opts.Incarnation {
		g.heartbeatSeen = max(g.heartbeatSeen, b.Sequence)
	}
	g.peerLoad.valid = false // added up when it is asked for: heartbeats of many hosts arrive together
}
