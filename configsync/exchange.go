package configsync

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// maxParallelCalls bounds the concurrent calls to peers. With 350 entries, the most that the system is designed for, it
// is above the number of probes per tick at the start of a table outage, so that hanging peers do not delay the others.
const maxParallelCalls = 128

// pull exchanges entry infos and participants' state with a peer and applies its newer objects.
func (s *Syncer) pull(ctx context.Context, p *peer) error {
	now := time.Now()
	s.mu.Lock()
	req := &rpc.SyncRequest{From: s.info(now), HaveRevision: s.state.Revision(), Entries: s.peers.relayInfos(now)}
	to := p.info
	s.mu.Unlock()
	req.Entries = append(req.Entries, req.GetFrom())
	for _, participant := range s.opts.Participants {
		participant.FillRequest(to, req)
	}
	resp, err := s.exchange(ctx, p, req)
	if err != nil {
		return err
	}
	for _, participant := range s.opts.Participants {
		participant.MergeResponse(resp)
	}
	return nil
}

// probe requests only the confirmation and newer objects of a peer. Its request has no entries, by which the peer
// recognizes a probe.
func (s *Syncer) probe(ctx context.Context, p *peer) error {
	s.mu.Lock()
	req := &rpc.SyncRequest{From: s.info(time.Now()), HaveRevision: s.state.Revision()}
	s.mu.Unlock()
	_, err := s.exchange(ctx, p, req)
	return err
}

// exchange sends a Sync request to a peer and applies the response.
func (s *Syncer) exchange(ctx context.Context, p *peer, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	sentAt := time.Now()
	resp, err := p.client.Sync(ctx, req)
	if err != nil {
		return nil, eris.Wrapf(err, "sync with %s", p.address)
	}
	if resp.GetFrom().GetPeerAddress() != p.address {
		return nil, fmt.Errorf("sync with %s: entry %q responds with peer address %q; correct its settings",
			p.address, resp.GetFrom().GetName(), resp.GetFrom().GetPeerAddress())
	}
	changed := s.applyComplete(fromRPC(resp.GetObjects()), resp.GetRevision())
	s.applyResponse(resp, sentAt)
	if len(changed) > 0 {
		s.opts.Logger.Debug().Int64("revision", resp.GetRevision()).Str("peer", resp.GetFrom().GetName()).
			Msg("configuration changes received from peer")
	}
	return resp, nil
}

// applyResponse records the confirmation and the entry infos of a response to a request sent at sentAt.
func (s *Syncer) applyResponse(resp *rpc.SyncResponse, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := resp.GetFrom()
	s.mergeInfo(from, true, time.Now())
	if !from.GetLeaving() {
		s.freshness.RecordResponse(fleetconfig.PeerResponse{
			Name: from.GetName(), DataCentre: from.GetDataCentre(), SentAt: sentAt,
			ConfirmationAge: confirmationAge(from), Revision: resp.GetRevision(),
		})
	}
	for _, info := range resp.GetEntries() {
		s.mergeInfo(info, false, time.Now())
	}
	s.updateFreshUntil()
}

// mergeInfo merges the info of an entry into the peer table and the freshness state. direct is set if the entry itself
// sent the info. The caller holds mu.
func (s *Syncer) mergeInfo(info *rpc.EntryInfo, direct bool, now time.Time) {
	p, previousName := s.peers.merge(info, direct, now)
	if p == nil {
		return
	}
	if previousName != p.nameOrAddress() {
		s.freshness.RemoveEntry(previousName)
	}
	if p.info.GetLeaving() {
		s.freshness.RemoveEntry(p.nameOrAddress())
	} else {
		s.freshness.ObserveEntry(p.nameOrAddress(), p.info.GetDataCentre(), now)
	}
	s.freshness.ObserveRevision(p.nameOrAddress(), p.appliedRevision())
	s.freshness.SetResponseWindow(time.Duration(s.freshness.KnownEntries()) * time.Second / probesPerSecond)
}

// push sends changes to the live peers of the own data centre and, if otherDataCentres is set, to one in each other
// data centre. More than maxObjectsPerPush changes are only announced, and the peers pull them.
func (s *Syncer) push(ctx context.Context, changed []fleetconfig.Object, otherDataCentres bool) {
	if len(changed) == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	targets := s.peers.pushTargets(now, otherDataCentres)
	req := &rpc.SyncRequest{From: s.info(now), HaveRevision: s.state.Revision()}
	s.mu.Unlock()
	if len(changed) <= maxObjectsPerPush {
		req.Objects = toRPC(changed)
	}
	s.forEach(targets, func(p *peer) {
		if _, err := s.exchange(ctx, p, req); err != nil {
			s.opts.Logger.Debug().Err(err).Msg("configuration push to peer failed")
		}
	})
}

// forEach calls f concurrently for all peers, up to maxParallelCalls at a time, and waits for all calls.
func (s *Syncer) forEach(peers []*peer, f func(p *peer)) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, p := range peers {
		group.Go(func() error {
			f(p)
			return nil
		})
	}
	_ = group.Wait() // f handles its errors itself
}
