package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/drain"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/usage"
)

// cacheReadTimeout is short, because the heartbeat waits for it.
const cacheReadTimeout = 200 * time.Millisecond

// heartbeats reports the upstream to the entries and takes orders from their replies.
type heartbeats struct {
	agent  *Agent
	client *http.Client
	scheme string
	seq    int64
	peers  map[string]rpc.Peer
}

func (h *heartbeats) run(ctx context.Context) {
	ticker := time.NewTicker(h.agent.settings.HeartbeatInterval.D())
	defer ticker.Stop()
	for {
		h.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.agent.nudge:
		}
	}
}

// round sends one report to all targets and waits for their replies, at most nine tenths of the interval, so that a
// dead entry does not delay the next round.
func (h *heartbeats) round(ctx context.Context) {
	a := h.agent
	h.seq++
	report := a.report(h.seq)
	events := h.cacheEvents(ctx)
	report.CacheAdded, report.CacheRemoved = events.Added, events.Removed
	ctx, cancel := context.WithTimeout(ctx, a.settings.HeartbeatInterval.D()*9/10)
	defer cancel()
	var answered atomic.Int64
	var wait sync.WaitGroup
	for _, address := range a.entries.targets() {
		peer := h.peer(address)
		wait.Go(func() {
			reply, err := peer.Heartbeat(ctx, report)
			if err != nil {
				a.heartbeatFailed(address, err)
				return
			}
			answered.Add(1)
			a.takeReply(address, reply)
		})
	}
	wait.Wait()
	a.orders.roundEnds(int(answered.Load()))
}

func (h *heartbeats) cacheEvents(ctx context.Context) engineapi.CacheEvents {
	if h.agent.settings.Kind != fleetconfig.UpstreamEngine || !h.agent.health.healthy() {
		return engineapi.CacheEvents{}
	}
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	return h.agent.cache.read(ctx)
}

func (h *heartbeats) peer(address string) rpc.Peer {
	peer, ok := h.peers[address]
	if !ok {
		peer = rpc.NewPeerProtobufClient(h.scheme+"://"+address, h.client)
		h.peers[address] = peer
	}
	return peer
}

func (a *Agent) heartbeatFailed(address string, err error) {
	a.metrics.heartbeatFailures.Inc()
	a.logger.Debug().Str("entry", address).Err(err).Msg("heartbeat failed")
	a.entries.missed(address)
}

func (a *Agent) takeReply(address string, reply *rpc.HeartbeatResponse) {
	a.entries.answered(address)
	a.entries.learn(reply.Entries)
	a.suspects.learn(reply.Quarantined, time.Now())
	if seconds := reply.UsageWindowSeconds; seconds > 0 {
		a.recorder.SetWindow(usage.Window{Length: time.Duration(seconds) * time.Second})
	}
	name := reply.Entry
	if name == "" {
		name = address
	}
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		a.orders.offer(name, reply.Wanted)
	}
}

// report describes the upstream as the agent sees it.
func (a *Agent) report(seq int64) *rpc.HeartbeatRequest {
	now := time.Now()
	state, running, queued := a.admission.state()
	pending, rate := a.meter.snapshot(now)
	status, known := a.versions.current()
	active := status.ActiveVersion
	if !known {
		active = 0
	}
	return &rpc.HeartbeatRequest{
		Upstream: a.settings.Name, DataAddress: a.addresses.Data, ControlAddress: a.addresses.Control,
		DataCentre: a.settings.DataCentre, Region: a.settings.Region, Kind: a.settings.Kind, Policy: a.settings.Serves,
		Incarnation: a.incarnation, ReportSeq: seq,
		Leaving: state == drain.Leaving || state == drain.Stopped, Healthy: a.health.healthy(),
		ActiveVersion: active, StagedVersions: status.StagedVersions,
		Running: int32(running), Queued: int32(queued), Slots: int32(a.settings.Slots),
		PendingTokens: pending, TokensPerSecond: rate,
		WeightsUrl: a.settings.weightsURL(), UsageFlushedSeq: a.recorder.FlushedSeq(), Suspects: a.suspects.report(now), HighestTerm: a.orders.highestTerm(),
	}
}
