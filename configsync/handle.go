package configsync

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

const (
	// maxObjectsPerPush bounds the objects of one push; a peer that lacks more of them pulls.
	maxObjectsPerPush = 1000
	// maxInfosPerRequest is above the number that any version of this program sends.
	maxInfosPerRequest = 1000
)

// HandleSync serves the Sync call of a peer.
func (s *Syncer) HandleSync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	from := req.GetFrom()
	if from.GetName() == "" || from.GetPeerAddress() == "" {
		return nil, twirp.RequiredArgumentError("from")
	}
	if len(req.GetObjects()) > maxObjectsPerPush {
		return nil, twirp.InvalidArgumentError("objects", "are too many for a push; let the peer pull them instead")
	}
	if len(req.GetEntries()) > maxInfosPerRequest {
		return nil, twirp.InvalidArgumentError("entries", "are too many for one request")
	}
	probe := len(req.GetEntries()) == 0
	s.mergeInfos(req)
	if !probe {
		for _, participant := range s.opts.Participants {
			participant.MergeRequest(req)
		}
	}
	changed := s.applyPushed(fromRPC(req.GetObjects()))
	if len(changed) > 0 && from.GetDataCentre() != s.opts.DataCentre {
		go s.push(context.WithoutCancel(ctx), changed, false)
	}
	if req.GetHaveRevision() > s.View().Revision() {
		s.requestPull(from.GetPeerAddress())
	}
	return s.buildResponse(req, probe), nil
}

// mergeInfos merges the infos of the sender and of the entries that it relays.
func (s *Syncer) mergeInfos(req *rpc.SyncRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.mergeInfo(req.GetFrom(), true, now)
	for _, info := range req.GetEntries() {
		if info.GetName() != req.GetFrom().GetName() {
			s.mergeInfo(info, false, now)
		}
	}
}

// buildResponse reads view and info under one lock, because the confirmation must not be newer than the objects sent
// with it.
func (s *Syncer) buildResponse(req *rpc.SyncRequest, probe bool) *rpc.SyncResponse {
	now := time.Now()
	s.mu.Lock()
	view := s.state.View()
	resp := &rpc.SyncResponse{From: s.info(now), Revision: view.Revision()}
	if !probe {
		resp.Entries = s.peers.relayInfos(now)
	}
	s.mu.Unlock()
	resp.Objects = toRPC(newerThan(view, req.GetHaveRevision()))
	if !probe {
		for _, participant := range s.opts.Participants {
			participant.FillResponse(req.GetFrom(), resp)
		}
	}
	return resp
}

// newerThan returns the objects changed after revision. It does not scan the objects in the common case that the peer
// is up to date.
func newerThan(view *fleetconfig.View, revision int64) []fleetconfig.Object {
	if view.Revision() <= revision {
		return nil
	}
	return view.Since(revision)
}

// requestPull makes Run pull from a peer that has a newer revision. It drops the request if the queue is full, since
// pulling from the queued peers suffices.
func (s *Syncer) requestPull(address string) {
	select {
	case s.pullRequests <- address:
	default:
	}
}
