package lotstore

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
)

// ErrUnknownTrainer means that the configuration has no trainer with that name.
var ErrUnknownTrainer = errors.New("the trainer is not configured; create it with radishshelfctl")

// errHeadChanged means that the head may have changed since it was read, either by another entry or by a transaction
// whose reply was lost. The pull then starts over.
var errHeadChanged = errors.New("the lot sequence changed during the pull; pull again")

// pullRequest holds the arguments of a pull and the configuration of its trainer.
type pullRequest struct {
	trainer string
	after   int64
	step    int64
	spec    lots.Spec
}

// Pull acknowledges all lots up to after and returns the next lot and its content. A repeated pull returns the same
// bytes. The error is lots.ErrNotReady, *lots.VoidError, *lots.SequenceError or ErrUnknownTrainer, or it wraps a
// *hosting.Error.
func (s *Store) Pull(ctx context.Context, trainer string, after, step int64) (lots.Lot, []byte, error) {
	spec, ok := s.opts.Spec(trainer)
	if !ok {
		return lots.Lot{}, nil, ErrUnknownTrainer
	}
	s.recordPulled(trainer)
	p := pullRequest{trainer: trainer, after: after, step: step, spec: spec}
	for range maxPullAttempts {
		lot, content, err := s.pullOnce(ctx, p)
		if errors.Is(err, errHeadChanged) {
			continue
		}
		return lot, content, err
	}
	return lots.Lot{}, nil, &hosting.Error{
		Kind: hosting.KindUnavailable, Op: "lot pull", Err: errHeadChanged, Remedy: "pull again",
	}
}

func (s *Store) recordPulled(trainer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulled[trainer] = true
}

func (s *Store) pullOnce(ctx context.Context, p pullRequest) (lots.Lot, []byte, error) {
	head, err := s.readHead(ctx, p.trainer)
	if err != nil {
		return lots.Lot{}, nil, err
	}
	if err := head.CheckPull(p.after); err != nil {
		return lots.Lot{}, nil, err
	}
	if p.after < head.Last {
		return s.repeatLot(ctx, p, head)
	}
	if err := s.acknowledgeLast(ctx, p, head); err != nil {
		return lots.Lot{}, nil, err
	}
	return s.formLot(ctx, p, head)
}

// repeatLot returns the last lot again, or voids it if it has become stale.
func (s *Store) repeatLot(ctx context.Context, p pullRequest, head *headState) (lots.Lot, []byte, error) {
	lot, revision, err := s.readLot(ctx, p.trainer, head.Last)
	if err != nil {
		return lots.Lot{}, nil, err
	}
	void := &lots.VoidError{Number: lot.Number, Next: lot.Number + 1}
	if lot.Void {
		return lots.Lot{}, nil, void
	}
	if lot.Stale(p.spec, p.step) {
		if err := s.voidLot(ctx, p, head, lot, revision); err != nil {
			return lots.Lot{}, nil, err
		}
		return lots.Lot{}, nil, void
	}
	content, err := s.getObject(ctx, lot.Object)
	if err != nil {
		return lots.Lot{}, nil, err
	}
	s.metrics.recordDelivery(p.trainer, p.step-lot.OldestVersion)
	return lot, content, nil
}

func (s *Store) voidLot(ctx context.Context, p pullRequest, head *headState, lot lots.Lot, revision int64) error {
	next, lot := head.VoidLot(lot)
	put, err := jsonPut(lotKey(p.trainer, lot.Number), lot)
	if err != nil {
		return err
	}
	err = s.commitHead(ctx, head, next.WithStep(p.step), hosting.Txn{
		Conditions: []hosting.Condition{{Key: put.Key, Revision: revision}},
		Puts:       []hosting.Put{put},
	})
	if err != nil {
		return err
	}
	s.metrics.voided.Inc()
	s.opts.Log.Info().Str("trainer", p.trainer).Int64("lot", lot.Number).Int64("step", p.step).
		Int64("oldest_version", lot.OldestVersion).Int("samples", lot.Samples).Msg("lot voided because a sample became stale")
	return nil
}

// acknowledgeLast acknowledges the last lot and removes its groups from the ready list.
func (s *Store) acknowledgeLast(ctx context.Context, p pullRequest, head *headState) error {
	if head.Acknowledged == p.after && head.Swept == head.Last {
		return nil
	}
	lot, _, err := s.readLot(ctx, p.trainer, head.Last)
	if err != nil {
		return err
	}
	if err := s.deleteReadyRows(ctx, lot); err != nil {
		return err
	}
	next := head.Acknowledge(lot).WithStep(p.step)
	next.Swept = lot.Number
	return s.commitHead(ctx, head, next, hosting.Txn{})
}

// deleteReadyRows deletes the ready rows of a lot. Their keys are never reused, so a repeated or late deletion is
// harmless.
func (s *Store) deleteReadyRows(ctx context.Context, lot lots.Lot) error {
	keys := make([]string, 0, len(lot.Groups))
	for _, g := range lot.Groups {
		keys = append(keys, g.Key)
	}
	if err := s.deleteAll(ctx, keys, nil); err != nil {
		return eris.Wrapf(err, "delete ready rows of lot %d of %s", lot.Number, lot.Trainer)
	}
	return nil
}
