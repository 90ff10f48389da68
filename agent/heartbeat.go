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

// cacheReadTimeout is short, because the heartbeat waits for the cache events.
const cacheReadTimeout = 200 * time.Millisecond

// heartbeatSender reports the state of the upstream to the entries and processes their replies, which carry orders.
type heartbeatSender struct {
	agent  *Agent
	client *http.Client
	scheme string
	seq    int64
	// peers holds the clients of the targets of the current round.
	peers map[string]rpc.Peer
}

func (h *heartbeatSender) run(ctx context.Context) {
	ticker := time.NewTicker(h.agent.settings.HeartbeatInterval.D())
	defer ticker.Stop()
	for {
		h.sendRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.agent.heartbeatTrigger:
		}
	}
}

// sendRound sends one report to all targets and waits for their replies. It waits at most nine tenths of the interval,
// so that a dead entry does not delay the next round.
func (h *heartbeatSender) sendRound(ctx context.Context) {
	a := h.agent
	h.seq++
	report := a.report(h.seq)
	events := h.readCacheEvents(ctx)
	report.CacheAdded, report.CacheRemoved = events.Added, events.Removed
	ctx, cancel := context.WithTimeout(ctx, a.settings.HeartbeatInterval.D()*9/10)
	defer cancel()
	var replies atomic.Int64
	var wg sync.WaitGroup
	h.selectPeers(a.entries.targets())
	for address, peer := range h.peers {
		wg.Go(func() {
			reply, err := peer.Heartbeat(ctx, report)
			if err != nil {
				a.handleHeartbeatError(address, err)
				return
			}
			replies.Add(1)
			a.handleReply(address, reply)
		})
	}
	wg.Wait()
	a.reconciler.finishRound(int(replies.Load()))
}

func (h *heartbeatSender) readCacheEvents(ctx context.Context) engineapi.CacheEvents {
	if h.agent.settings.Kind != fleetconfig.UpstreamEngine || !h.agent.health.healthy() {
		return engineapi.CacheEvents{}
	}
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	return h.agent.cache.read(ctx)
}

// selectPeers makes targets the peers of the next round. It keeps their clients and drops the others.
func (h *heartbeatSender) selectPeers(targets []string) {
	selected := make(map[string]rpc.Peer, len(targets))
	for _, address := range targets {
		peer, ok := h.peers[address]
		if !ok {
			peer = rpc.NewPeerProtobufClient(h.scheme+"://"+address, h.client)
		}
		selected[address] = peer
	}
	h.peers = selected
}

func (a *Agent) handleHeartbeatError(address string, err error) {
	a.metrics.heartbeatFailures.Inc()
	a.logger.Debug().Str("entry", address).Err(err).Msg("heartbeat failed")
	a.entries.recordMiss(address)
}

func (a *Agent) handleReply(address string, reply *rpc.HeartbeatResponse) {
	a.entries.recordReply(address)
	a.entries.update(reply.Entries)
	a.suspects.recordReported(reply.Quarantined, time.Now())
	if seconds := reply.UsageWindowSeconds; seconds > 0 {
		a.recorder.SetWindow(usage.Window{Length: time.Duration(seconds) * time.Second})
	}
	name := reply.Entry
	if name == "" {
		name = address
	}
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		a.reconciler.receiveWanted(name, reply.Wanted)
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
		WeightsUrl: a.settings.weightsURL(), UsageFlushedSeq: a.recorder.FlushedSeq(), Suspects: a.suspects.report(now), HighestTerm: a.reconciler.highestTerm(),
	}
}
