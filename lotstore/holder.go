package lotstore

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/samples"
)

// GroupHolder keeps copies of completed groups for another entry. The Twirp client of rpc.Peer implements it.
type GroupHolder interface {
	HoldGroup(ctx context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error)
	ReleaseGroup(ctx context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error)
}

// HoldGroup keeps a copy of a group for a peer. This entry also writes the copy to the store as soon as possible, in
// case the peer crashes first. The condition on the group row makes the second of the two writes a no-op.
func (s *Store) HoldGroup(_ context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error) {
	var g samples.Group
	if err := json.Unmarshal(req.GetContent(), &g); err != nil {
		return nil, twirp.InvalidArgumentError("content", "is not a group in JSON: "+err.Error())
	}
	if g.Trainer != req.GetTrainer() || g.ID != req.GetGroup() {
		return nil, twirp.InvalidArgumentError("content", "names another trainer or group than the request")
	}
	p, err := newPendingGroup(g)
	if err != nil {
		return nil, twirp.InvalidArgumentError("content", err.Error())
	}
	return &rpc.HoldGroupResponse{Held: s.replicas.add(p) != nil}, nil
}

// ReleaseGroup removes the copy of a group that the peer has stored.
func (s *Store) ReleaseGroup(_ context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error) {
	s.replicas.remove(groupID{req.GetTrainer(), req.GetGroup()})
	return &rpc.ReleaseGroupResponse{}, nil
}

// replicate asks a peer to hold a copy of the group and reports whether it does. The call is not cancelled with ctx,
// because the group stays pending after the caller has gone.
func (s *Store) replicate(ctx context.Context, p *pendingGroup) bool {
	peer, ok := s.opts.Peer()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	resp, err := peer.HoldGroup(ctx, &rpc.HoldGroupRequest{
		From: s.opts.Name, Trainer: p.trainer, Group: p.group, Content: p.content,
	})
	if err != nil || !resp.GetHeld() {
		s.opts.Log.Warn().Err(err).Str("trainer", p.trainer).Str("group", p.group).Msg("peer did not accept a copy of the group")
		return false
	}
	if !p.setHolder(peer) {
		s.releaseReplica(ctx, peer, p)
	}
	return true
}

// releaseReplica tells the peer to remove its copy. A peer that cannot be reached removes it after its own write.
func (s *Store) releaseReplica(ctx context.Context, peer GroupHolder, p *pendingGroup) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerCallTimeout)
	defer cancel()
	if _, err := peer.ReleaseGroup(ctx, &rpc.ReleaseGroupRequest{Trainer: p.trainer, Group: p.group}); err != nil {
		s.opts.Log.Info().Err(err).Str("trainer", p.trainer).Str("group", p.group).Msg("failed to release the copy of a stored group on the peer")
	}
}
