package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/telemetry"
)

// maxEntriesPerReply limits the other entries named in one heartbeat reply. An agent receives 16 replies per second and
// an entry takes 90 B. With two entries per reply, the agent stays within 18 KB/s and still learns of 350 entries
// within a minute.
const maxEntriesPerReply = 2

// Server implements rpc.Peer.
type Server struct {
	opts       Options
	heartbeats *metrics.Counter
	refused    *metrics.Counter
}

var _ rpc.Peer = (*Server)(nil)

// NewServer returns the service for the peer port.
func NewServer(o Options) *Server {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Registry == nil {
		o.Registry = telemetry.NewRegistry()
	}
	return &Server{
		opts:       o,
		heartbeats: o.Registry.GetOrCreateCounter("radishshelf_peer_heartbeats_total"),
		refused:    o.Registry.GetOrCreateCounter("radishshelf_peer_heartbeats_refused_total"),
	}
}

// Sync implements rpc.Peer.
func (s *Server) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return s.opts.Syncer.HandleSync(ctx, req)
}

// Heartbeat implements rpc.Peer.
func (s *Server) Heartbeat(_ context.Context, req *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	if err := validateReport(req); err != nil {
		s.refused.Inc()
		return nil, err
	}
	s.heartbeats.Inc()
	now := s.opts.Now()
	s.opts.Members.ApplyHeartbeat(upstreamOf(req), prefixindex.Event{
		Upstream: req.GetUpstream(), Incarnation: req.GetIncarnation(), Seq: req.GetReportSeq(),
		Added: req.GetCacheAdded(), Removed: req.GetCacheRemoved(),
	}, suspectsOf(req.GetSuspects()), now)
	if s.opts.Usage != nil {
		s.opts.Usage.Flushed(req.GetUpstream(), req.GetIncarnation(), req.GetUsageFlushedSeq())
	}
	view := s.opts.Syncer.View()
	return &rpc.HeartbeatResponse{
		UsageWindowSeconds: view.Defaults().UsageWindowSeconds,
		Entry:              s.opts.Name, Wanted: s.wantedState(view, req, now), Quarantined: quarantinedOf(s.opts.Members.Suspects(now)),
		Roles: s.opts.Roles.Roles(), Entries: append(s.sampleEntries(now), s.opts.Syncer.Info(now)),
	}, nil
}

// sampleEntries returns a random sample of the other entries. An agent collects them over many replies, because naming
// all 350 entries of a large fleet would make each reply 32 KB.
func (s *Server) sampleEntries(now time.Time) []*rpc.EntryInfo {
	entries := s.opts.Syncer.Entries(now)
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(len(entries), maxEntriesPerReply)]
}

// wantedState returns the state required by the rollout of the upstream's policy, or nil if there is no rollout.
func (s *Server) wantedState(view *fleetconfig.View, req *rpc.HeartbeatRequest, now time.Time) *rpc.WantedState {
	if req.GetKind() != fleetconfig.UpstreamEngine {
		return nil
	}
	rollout, ok := view.Rollout(req.GetPolicy())
	if !ok {
		return nil
	}
	object, _ := view.Object(fleetconfig.KindRollout, req.GetPolicy())
	state := &rpc.WantedState{
		Term: rollout.Term, Revision: object.Revision, Policy: req.GetPolicy(), StageVersion: rollout.Version,
		ActivateVersion: rollout.Previous,
	}
	if rollout.Phase == fleetconfig.PhaseActivate {
		state.ActivateVersion = rollout.Version
	}
	s.planStage(state, req, now)
	return state
}

// HoldGroup implements rpc.Peer.
func (s *Server) HoldGroup(ctx context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error) {
	if s.opts.Groups == nil {
		return &rpc.HoldGroupResponse{}, nil
	}
	if req.GetTrainer() == "" || req.GetGroup() == "" || len(req.GetContent()) == 0 {
		return nil, twirp.RequiredArgumentError("trainer, group and content")
	}
	return s.opts.Groups.HoldGroup(ctx, req)
}

// ReleaseGroup implements rpc.Peer.
func (s *Server) ReleaseGroup(ctx context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error) {
	if s.opts.Groups == nil {
		return &rpc.ReleaseGroupResponse{}, nil
	}
	return s.opts.Groups.ReleaseGroup(ctx, req)
}

// RequestQuota implements rpc.Peer.
func (s *Server) RequestQuota(ctx context.Context, req *rpc.QuotaRequest) (*rpc.QuotaResponse, error) {
	if s.opts.Quota == nil {
		return &rpc.QuotaResponse{}, nil
	}
	if req.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	return s.opts.Quota.RequestQuota(ctx, req)
}
