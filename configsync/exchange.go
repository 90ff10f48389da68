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

// maxParallelCalls bounds the calls to peers at one time. It is above the burst of questions at the design size, so that
// peers that hang do not delay the others.
const maxParallelCalls = 128

// pull exchanges views with a peer and takes over its newer objects.
func (s *Syncer) pull(ctx context.Context, p *peer) error {
	now := time.Now()
	s.mu.Lock()
	req := &rpc.SyncRequest{From: s.info(now), HaveRevision: s.state.Revision(), Entries: s.peers.relays(now)}
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

// probe asks a peer for its confirmation and newer objects only. A request without entries marks it.
func (s *Syncer) probe(ctx context.Context, p *peer) error {
	s.mu.Lock()
	req := &rpc.SyncRequest{From: s.info(time.Now()), HaveRevision: s.state.Revision()}
	s.mu.Unlock()
	_, err := s.exchange(ctx, p, req)
	return err
}

func (s *Syncer) exchange(ctx context.Context, p *peer, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	sentAt := time.Now()
	resp, err := p.client.Sync(ctx, req)
	if err != nil {
		return nil, eris.Wrapf(err, "sync with %s", p.address)
	}
	if resp.GetFrom().GetPeerAddress() != p.address {
		return nil, fmt.Errorf("sync with %s: entry %q answers for address %q; correct its peer address",
			p.address, resp.GetFrom().GetName(), resp.GetFrom().GetPeerAddress())
	}
	changed := s.applyComplete(fromRPC(resp.GetObjects()), resp.GetRevision())
	s.heard(resp, sentAt)
	if len(changed) > 0 {
		s.opts.Logger.Debug().Int64("revision", resp.GetRevision()).Str("peer", resp.GetFrom().GetName()).
			Msg("configuration pulled")
	}
	return resp, nil
}

func (s *Syncer) heard(resp *rpc.SyncResponse, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := resp.GetFrom()
	s.learn(from, true, time.Now())
	if !from.GetLeaving() {
		s.fresh.RecordResponse(fleetconfig.PeerResponse{
			Name: from.GetName(), DataCentre: from.GetDataCentre(), SentAt: sentAt,
			ConfirmationAge: ageOf(from), Revision: resp.GetRevision(),
		})
	}
	for _, info := range resp.GetEntries() {
		s.learn(info, false, time.Now())
	}
	s.refreshed()
}

// learn takes over the info of an entry. The caller holds mu.
func (s *Syncer) learn(info *rpc.EntryInfo, direct bool, now time.Time) {
	p, before := s.peers.learn(info, direct, now)
	if p == nil {
		return
	}
	if before != p.knownAs() {
		s.fresh.RemoveEntry(before)
	}
	if p.info.GetLeaving() {
		s.fresh.RemoveEntry(p.knownAs())
	} else {
		s.fresh.ObserveEntry(p.knownAs(), p.info.GetDataCentre(), now)
	}
	s.fresh.ObserveRevision(p.knownAs(), p.appliedRevision())
	s.fresh.SetResponseWindow(time.Duration(s.fresh.KnownEntries()) * time.Second / answersPerSecond)
}

// push sends changes to the peers that do not read the table themselves. Too many changes are only announced; the peers
// pull them.
func (s *Syncer) push(ctx context.Context, changed []fleetconfig.Object, abroad bool) {
	if len(changed) == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	targets := s.peers.pushTargets(now, abroad)
	req := &rpc.SyncRequest{From: s.info(now), HaveRevision: s.state.Revision()}
	s.mu.Unlock()
	if len(changed) <= maxObjectsPerPush {
		req.Objects = toRPC(changed)
	}
	s.each(targets, func(p *peer) {
		if _, err := s.exchange(ctx, p, req); err != nil {
			s.opts.Logger.Debug().Err(err).Msg("configuration not pushed")
		}
	})
}

// each calls f for all peers, a bounded number at a time, and waits.
func (s *Syncer) each(peers []*peer, f func(p *peer)) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, p := range peers {
		group.Go(func() error {
			f(p)
			return nil
		})
	}
	_ = group.Wait() // f reports its errors itself
}
