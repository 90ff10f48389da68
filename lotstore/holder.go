package lotstore

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/samples"
)

// GroupHolder keeps copies of completed groups for another entry. The twirp client of rpc.Peer is one.
type GroupHolder interface {
	HoldGroup(ctx context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error)
	ReleaseGroup(ctx context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error)
}

// HoldGroup keeps a copy for a peer. This entry also writes it to the store as soon as it can, because the peer may die
// first; the condition on the group row makes the second write of the two harmless.
func (s *Store) HoldGroup(_ context.Context, req *rpc.HoldGroupRequest) (*rpc.HoldGroupResponse, error) {
	var g samples.Group
	if err := json.Unmarshal(req.GetContent(), &g); err != nil {
		return nil, twirp.InvalidArgumentError("content", "is not a group in JSON: "+err.Error())
	}
	if g.Trainer != req.GetTrainer() || g.ID != req.GetGroup() {
		return nil, twirp.InvalidArgumentError("content", "names another trainer or group than the request")
	}
	w, err := newWaiting(g)
	if err != nil {
		return nil, twirp.InvalidArgumentError("content", err.Error())
	}
	return &rpc.HoldGroupResponse{Held: s.held.put(w) != nil}, nil
}

// ReleaseGroup drops the copy of a group that the peer has made durable.
func (s *Store) ReleaseGroup(_ context.Context, req *rpc.ReleaseGroupRequest) (*rpc.ReleaseGroupResponse, error) {
	s.held.remove(groupID{req.GetTrainer(), req.GetGroup()})
	return &rpc.ReleaseGroupResponse{}, nil
}

// offer asks a peer to hold a copy and returns whether it does. The caller's context does not bound the call, since the
// group waits on when the caller has left.
func (s *Store) offer(ctx context.Context, w *waiting) bool {
	peer, ok := s.opts.Peer()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), offerTimeout)
	defer cancel()
	resp, err := peer.HoldGroup(ctx, &rpc.HoldGroupRequest{
		From: s.opts.Name, Trainer: w.trainer, Group: w.group, Content: w.content,
	})
	if err != nil || !resp.GetHeld() {
		s.opts.Log.Warn().Err(err).Str("trainer", w.trainer).Str("group", w.group).Msg("peer does not hold the group")
		return false
	}
	if !w.heldBy(peer) {
		s.release(ctx, peer, w)
	}
	return true
}

// release tells the peer to drop its copy. A peer that is not reached drops it after its own write.
func (s *Store) release(ctx context.Context, peer GroupHolder, w *waiting) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), offerTimeout)
	defer cancel()
	if _, err := peer.ReleaseGroup(ctx, &rpc.ReleaseGroupRequest{Trainer: w.trainer, Group: w.group}); err != nil {
		s.opts.Log.Info().Err(err).Str("trainer", w.trainer).Str("group", w.group).Msg("peer not told that the group is stored")
	}
}
