package lotstore

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
)

// formLot forms the next lot from the ready groups. If several entries do so at the same time, the compare-and-swap of
// the head lets one of them succeed and the others read its lot.
func (s *Store) formLot(ctx context.Context, p pullRequest, head *headState) (lots.Lot, []byte, error) {
	ready, err := s.readCandidates(ctx, p)
	if err != nil {
		return lots.Lot{}, nil, err
	}
	selection := lots.SelectGroups(p.spec, p.step, ready)
	if err := s.discardGroups(ctx, p, head, selection.Discarded); err != nil {
		return lots.Lot{}, nil, err
	}
	if len(selection.Selected) == 0 {
		return lots.Lot{}, nil, lots.ErrNotReady
	}
	next, lot := head.NewLot(p.trainer, p.step, selection.Selected, s.opts.Now())
	content, err := s.buildContent(ctx, lot)
	if err != nil {
		return lots.Lot{}, nil, err
	}
	if lot.Object, err = s.putObject(ctx, content); err != nil {
		return lots.Lot{}, nil, err
	}
	if err := s.writeLot(ctx, head, next.WithStep(p.step), lot); err != nil {
		return lots.Lot{}, nil, err
	}
	s.metrics.formed.Inc()
	s.metrics.recordDelivery(p.trainer, p.step-lot.OldestVersion)
	s.opts.Log.Info().Str("trainer", p.trainer).Int64("lot", lot.Number).Int64("step", p.step).
		Int("groups", len(lot.Groups)).Int("samples", lot.Samples).Int64("oldest_version", lot.OldestVersion).Msg("lot formed")
	return lot, content, nil
}

func (s *Store) writeLot(ctx context.Context, head *headState, next lots.Head, lot lots.Lot) error {
	put, err := jsonPut(lotKey(lot.Trainer, lot.Number), lot)
	if err != nil {
		return err
	}
	return s.commitHead(ctx, head, next, hosting.Txn{
		Conditions: []hosting.Condition{{Key: put.Key}},
		Puts:       []hosting.Put{put},
	})
}

// readCandidates reads ready groups in order of arrival until they fill a lot at the step of the pull. OrderFreshest
// depends on all ready groups, so it reads up to maxReadyScan of them.
func (s *Store) readCandidates(ctx context.Context, p pullRequest) ([]lots.ReadyGroup, error) {
	var ready []lots.ReadyGroup
	usable := 0
	after := ""
	limit := lots.MaxGroups
	if p.spec.Order == lots.OrderFreshest {
		limit = maxReadyScan
	}
	for (usable < p.spec.LotSamples || p.spec.Order == lots.OrderFreshest) && len(ready) < limit {
		page, last, err := s.readReadyPage(ctx, p.trainer, after)
		if err != nil {
			return nil, err
		}
		if last == "" {
			break
		}
		for _, r := range page {
			if !samples.Stale(p.step, r.OldestVersion, p.spec.MaxStaleness) {
				usable += r.Samples
			}
		}
		ready = append(ready, page...)
		after = last
	}
	return ready, nil
}

// discardGroups records stale groups as discarded and removes them from the ready list, in transactions of limited
// size.
func (s *Store) discardGroups(ctx context.Context, p pullRequest, head *headState, groups []lots.DiscardedGroup) error {
	for chunk := range slices.Chunk(groups, maxDeleteRows) {
		next := head.RecordDiscards(chunk).WithStep(p.step)
		put, err := jsonPut(discardKey(p.trainer, next.DiscardRows), discardRow{
			Step: p.step, DiscardedAt: s.opts.Now().UTC(), Groups: chunk,
		})
		if err != nil {
			return err
		}
		txn := hosting.Txn{Puts: []hosting.Put{put}}
		for _, g := range chunk {
			txn.Deletes = append(txn.Deletes, g.Key)
		}
		if err := s.commitHead(ctx, head, next, txn); err != nil {
			return err
		}
		for _, g := range chunk {
			s.metrics.recordDiscarded(g.Reason, g.Samples)
		}
	}
	return nil
}

// buildContent reads the groups of a lot and encodes the content of the lot. Equal lots give equal bytes.
func (s *Store) buildContent(ctx context.Context, lot lots.Lot) ([]byte, error) {
	groups := make([]samples.Group, len(lot.Groups))
	readers, ctx := errgroup.WithContext(ctx)
	readers.SetLimit(maxGroupReads)
	for i, ready := range lot.Groups {
		readers.Go(func() error {
			data, err := s.getObject(ctx, ready.Object)
			if err != nil {
				return err
			}
			return json.Unmarshal(data, &groups[i])
		})
	}
	if err := readers.Wait(); err != nil {
		return nil, eris.Wrapf(err, "read groups of lot %d of %s", lot.Number, lot.Trainer)
	}
	content, err := json.Marshal(lots.NewContent(lot, groups))
	if err != nil {
		return nil, eris.Wrapf(err, "encode lot %d of %s", lot.Number, lot.Trainer)
	}
	return content, nil
}
