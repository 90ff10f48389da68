package lotstore

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
)

// maxCleanPasses limits how many lots and how many discard rows one cleanup of a trainer deletes.
const maxCleanPasses = 4

func (s *Store) cleanPulled(ctx context.Context) {
	s.mu.Lock()
	trainers := slices.Sorted(maps.Keys(s.pulled))
	s.mu.Unlock()
	for _, trainer := range trainers {
		if err := s.Clean(ctx, trainer); err != nil && !errors.Is(err, errHeadChanged) && ctx.Err() == nil {
			s.opts.Log.Warn().Err(err).Str("trainer", trainer).Msg("failed to delete expired lots")
		}
	}
}

// Clean deletes a limited number of acknowledged lots and discard rows whose retention has expired, together with the
// rows of their groups.
func (s *Store) Clean(ctx context.Context, trainer string) error {
	for range maxCleanPasses {
		head, err := s.readHead(ctx, trainer)
		if err != nil {
			return err
		}
		more, err := s.cleanLot(ctx, trainer, head)
		if err != nil {
			return err
		}
		moreDiscards, err := s.cleanDiscards(ctx, trainer, head)
		if err != nil {
			return err
		}
		if !more && !moreDiscards {
			return nil
		}
	}
	return nil
}

func (s *Store) expired(at time.Time) bool { return s.opts.Now().Sub(at) >= s.opts.Retention }

func (s *Store) cleanLot(ctx context.Context, trainer string, head *headState) (bool, error) {
	number := head.Cleaned + 1
	if number > head.Acknowledged || number > head.Swept {
		return false, nil
	}
	lot, _, err := s.readLot(ctx, trainer, number)
	if err != nil || !s.expired(lot.FormedAt) {
		return false, err
	}
	if err := s.deleteGroups(ctx, trainer, head, lot.Groups); err != nil {
		return false, err
	}
	next := head.Head
	next.Cleaned = number
	return true, s.commitHead(ctx, head, next, hosting.Txn{Deletes: []string{lotKey(trainer, number)}})
}

func (s *Store) cleanDiscards(ctx context.Context, trainer string, head *headState) (bool, error) {
	number := head.DiscardsCleaned + 1
	if number > head.DiscardRows {
		return false, nil
	}
	var row discardRow
	if _, err := s.readJSON(ctx, discardKey(trainer, number), &row); err != nil || !s.expired(row.DiscardedAt) {
		return false, err
	}
	groups := make([]lots.ReadyGroup, 0, len(row.Groups))
	for _, g := range row.Groups {
		groups = append(groups, g.ReadyGroup)
	}
	if err := s.deleteGroups(ctx, trainer, head, groups); err != nil {
		return false, err
	}
	next := head.Head
	next.DiscardsCleaned = number
	return true, s.commitHead(ctx, head, next, hosting.Txn{Deletes: []string{discardKey(trainer, number)}})
}

// deleteGroups deletes group rows on the condition that the head is unchanged. After a change of the head, another
// entry may have completed the same cleanup and a group with the same id may have been added again.
func (s *Store) deleteGroups(ctx context.Context, trainer string, head *headState, groups []lots.ReadyGroup) error {
	keys := make([]string, 0, len(groups))
	for _, g := range groups {
		keys = append(keys, groupKey(trainer, g.Group))
	}
	return s.deleteAll(ctx, keys, []hosting.Condition{{Key: head.key, Revision: head.revision}})
}

// deleteAll deletes rows in transactions of limited size, each under the given conditions.
func (s *Store) deleteAll(ctx context.Context, keys []string, conditions []hosting.Condition) error {
	for chunk := range slices.Chunk(keys, maxDeleteRows) {
		result, err := s.opts.Table.Commit(ctx, hosting.Txn{Conditions: conditions, Deletes: chunk})
		if hosting.IsKind(err, hosting.KindUnknown) {
			return errHeadChanged
		}
		if err != nil {
			return err
		}
		if !result.Committed {
			return errHeadChanged
		}
	}
	return nil
}
