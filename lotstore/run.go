package lotstore

import (
	"context"
	"time"
)

// Run writes waiting groups until ctx ends, and deletes rows that are no longer needed.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opts.RetryInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.Retry(ctx)
		s.CountReady(ctx)
		if round%cleanEvery == 0 {
			s.cleanServed(ctx)
		}
	}
}

// Retry writes the groups that wait, own ones first, and stops at the first failure of the store.
func (s *Store) Retry(ctx context.Context) {
	if s.drain(ctx, s.own) {
		s.drain(ctx, s.held)
		return
	}
	s.offerAll(ctx)
}

// offerAll looks for a peer for the groups that have none. It stops at the first failure, because each may take the
// whole timeout and would delay the next try of the store.
func (s *Store) offerAll(ctx context.Context) {
	for _, w := range s.own.list() {
		if !w.offered() && !s.offer(ctx, w) {
			return
		}
	}
}

// drain returns false when the store failed.
func (s *Store) drain(ctx context.Context, b *buffer) bool {
	for _, w := range b.list() {
		err := s.store(ctx, w)
		if err != nil && !isPermanent(err) {
			return false
		}
		if err != nil {
			s.opts.Log.Error().Err(err).Str("trainer", w.trainer).Str("group", w.group).Msg("group refused by the store")
		}
		b.remove(groupID{w.trainer, w.group})
		if peer := w.finish(err); peer != nil {
			s.release(ctx, peer, w)
		}
	}
	return true
}
