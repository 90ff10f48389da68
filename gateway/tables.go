package gateway

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/evacuation"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Tables that this service writes.
const (
	heartbeatTable   = "entries"
	jobTable         = "jobs"
	contentTable     = "job_content"
	resultTable      = "job_results"
	progressTable    = "job_progress"
	carryoverTable   = "job_left"
	leaseTable       = "leases"
	usageTable       = "usage_counts"
	sealedUsageTable = "usage_sealed"
	suspectTable     = "suspects"
)

func (g *Gateway) newTableWatch(table string, partitioned bool) *tableWatch {
	return &tableWatch{
		table: table, wait: watchWait, partitioned: partitioned, rows: g.opts.Rows, onResponse: g.recordStoreResponse,
		recoverPanic: g.recoverPanic,
		onFailure:    func(err error) { g.recordWatchFailure(table, err) },
	}
}

func (g *Gateway) operatorWatch() *tableWatch {
	w := g.newTableWatch(g.opts.Codec.OperatorTable(), false)
	w.apply = func(c hosting.RowChange) {
		if dataCentre, ok := g.opts.Codec.EvacuatedDataCentre(c.Key); ok {
			g.applyEvacuation(evacuation.Order{DataCentre: dataCentre, Version: c.Version, Active: !c.Deleted}, operatorSource)
		} else if !c.Deleted {
			g.applyOperatorRow(c.StoredRow)
		}
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.resetEvacuations(rows, w.readVersion) // before the configuration, without which nothing is sent
		for _, r := range rows {
			w.recoverPanic("row of "+w.table, func() { g.applyOperatorRow(r) })
		}
	}
	return w
}

// applyOperatorRow applies a configuration or a model version. An older one never replaces a newer one.
func (g *Gateway) applyOperatorRow(r hosting.StoredRow) {
	switch {
	case g.opts.Codec.IsConfig(r.Key):
		g.applyConfig(r.Value)
	case g.opts.Codec.IsModelVersion(r.Key):
		modelVersion, err := g.opts.Codec.DecodeModelVersion(r.Key, r.Value)
		if err != nil {
			g.skipRow(r.RowKey, err)
			return
		}
		g.mu.Lock()
		newer := modelVersion.Version > g.latestVersions[modelVersion.Model]
		if newer {
			g.latestVersions[modelVersion.Model] = modelVersion.Version
		}
		g.mu.Unlock()
		if newer {
			g.opts.Log.Info().Str("model", modelVersion.Model).Int64("version", modelVersion.Version).Msg("weight version named")
		}
	}
}

func (g *Gateway) applyConfig(value []byte) {
	config, err := g.opts.Codec.DecodeConfig(value)
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("cannot decode configuration; the current one stays in effect")
		return
	}
	g.mu.Lock()
	newer := g.config == nil || config.Version > g.config.Version
	if newer {
		g.config = config
		g.updateJobLimits()
	}
	g.mu.Unlock()
	if newer {
		g.opts.Log.Info().Int64("config_version", config.Version).Int("routes", config.RouteCount()).
			Msg("configuration applied")
		g.wakeScheduler()
	}
}

func (g *Gateway) upstreamWatch() *tableWatch {
	w := g.newTableWatch(g.opts.Codec.UpstreamTable(), false)
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
			w.recoverPanic("row of "+w.table, func() {
				if e, err := g.opts.Codec.DecodeUpstream(r.Key, r.Value); err == nil {
					list = append(list, e)
				} else {
					g.skipRow(r.RowKey, err)
				}
			})
		}
		g.upstreams.Replace(list, time.Now())
		for _, e := range list {
			g.observeCold(e, e.ColdFor)
		}
		g.upstreamsLoaded = true
	}
	return w
}

// removeUpstream handles the removal of an upstream's registry entry. An upstream that did not announce that it
// leaves has probably ended. The caller holds g.mu.
func (g *Gateway) removeUpstream(id string) {
	e, known := g.upstreams.Get(id)
	g.upstreams.Remove(id, time.Now())
	if _, still := g.upstreams.Get(id); known && !still && e.State == upstreams.Ready {
		g.recordUpstreamEnd(e, "entry removed")
	}
}

// putUpstream applies an upstream's registry entry. One that cannot be decoded removes the upstream. The caller holds
// g.mu.
func (g *Gateway) putUpstream(r hosting.StoredRow) {
	e, err := g.opts.Codec.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		g.upstreams.Discard(r.Key)
		g.skipRow(r.RowKey, err)
		return
	}
	old, known := g.upstreams.Get(e.ID)
	g.upstreams.Put(e)
	g.observeCold(e, e.ColdFor)
	e, _ = g.upstreams.Get(e.ID) // an upstream that announced that it leaves does so whatever its entry states
	if known && old.Born != e.Born {
		delete(g.health, e.ID) // a new incarnation starts without a health history
		g.recordUpstreamEnd(old, "entry of another incarnation")
	}
	if known && !maps.Equal(old.Versions, e.Versions) {
		g.clearBusy(e)
	}
	if !known || old.State != e.State || old.Born != e.Born || !maps.Equal(old.Versions, e.Versions) {
		g.opts.Log.Info().Str("upstream", e.ID).Str("service", e.Service).Str("state", string(e.State)).
			Interface("versions", e.Versions).Msg("upstream changed")
		g.wakeScheduler()
	}
}

func (g *Gateway) heartbeatWatch() *tableWatch {
	w := g.newTableWatch(heartbeatTable, false)
	w.apply = func(c hosting.RowChange) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.Deleted {
			g.peers.Forget(c.Key)
			g.limits.ForgetPeer(c.Key)
			g.peerLoad.valid = false
			return
		}
		g.applyHeartbeat(c.StoredRow)
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range rows {
			w.recoverPanic("row of "+w.table, func() { g.applyHeartbeat(r) })
		}
	}
	return w
}

// applyHeartbeat records a heartbeat. The caller holds g.mu.
func (g *Gateway) applyHeartbeat(r hosting.StoredRow) {
	var b presence.Heartbeat
	if err := json.Unmarshal(r.Value, &b); err != nil {
		g.skipRow(r.RowKey, err)
		return
	}
	g.peers.ObserveAt(b, time.Now())
	g.observeLimits(b)
	g.observeEvacuations(b)
	if b.Host == g.opts.Host && b.Incarnation == g.opts.Incarnation {
		g.heartbeatSeen = max(g.heartbeatSeen, b.Sequence)
	}
	g.peerLoad.valid = false // summed up on demand: heartbeats of many hosts arrive together
}
