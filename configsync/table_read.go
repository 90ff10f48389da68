package configsync

import (
	"context"
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// readTable brings the configuration up to the head of the table and records the confirmation. It returns the changes
// that peers may not have yet; the result of the first load after a start is not returned, since peers know it already.
func (s *Syncer) readTable(ctx context.Context) ([]fleetconfig.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.TableTimeout)
	defer cancel()
	sentAt := time.Now()
	head, err := s.opts.Source.Head(ctx)
	if err != nil {
		return nil, err
	}
	through := s.View().Revision()
	if head < through {
		return nil, fmt.Errorf("table head %d is below the applied revision %d; restore the table", head, through)
	}
	var changed []fleetconfig.Object
	if head > through {
		objects, complete, err := s.readChanges(ctx, through)
		if err != nil {
			return nil, err
		}
		changed = s.applyComplete(objects, complete)
	}
	if through == 0 {
		changed = nil
	}
	s.confirm(sentAt, head)
	return changed, nil
}

// readChanges returns the changes after through, or all objects if through is 0.
func (s *Syncer) readChanges(ctx context.Context, through int64) ([]fleetconfig.Object, int64, error) {
	if through == 0 {
		return s.opts.Source.Load(ctx)
	}
	return s.opts.Source.Since(ctx, through)
}

// confirm records that a read sent at sentAt found the table at head, provided that head is applied.
func (s *Syncer) confirm(sentAt time.Time, head int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Revision() < head {
		return
	}
	s.freshness.RecordConfirmation(sentAt)
	s.updateFreshUntil()
}
