package lotstore

import (
	"context"
	"time"
)

// Run writes waiting groups until ctx ends, and deletes rows that are no longer needed.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opts.RetryInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.Retry(ctx)
		s.CountReady(ctx)
		if tick%cleanIntervalTicks == 0 {
			s.cleanPulled(ctx)
		}
	}
}

// Retry writes the groups that wait, own ones first, and stops at the first failure of the store.
func (s *Store) Retry(ctx context.Context) {
	if s.persistAll(ctx, s.pending) {
		s.persistAll(ctx, s.replicas)
		return
	}
	s.replicateAll(ctx)
}

// replicateAll looks for a peer for the groups that have none. It stops at the first failure, because each may take the
// whole timeout and would delay the next try of the store.
func (s *Store) replicateAll(ctx context.Context) {
	for _, p := range s.pending.list() {
		if !p.hasHolder() && !s.replicate(ctx, p) {
			return
		}
	}
}

// persistAll returns false when the store failed.
func (s *Store) persistAll(ctx context.Context, b *buffer) bool {
	for _, p := range b.list() {
		err := s.persist(ctx, p)
		if err != nil && !isPermanent(err) {
			return false
		}
		if err != nil {
			s.opts.Log.Error().Err(err).Str("trainer", p.trainer).Str("group", p.group).Msg("group refused by the store")
		}
		b.remove(groupID{p.trainer, p.group})
		if peer := p.finish(err); peer != nil {
			s.releaseReplica(ctx, peer, p)
		}
	}
	return true
}
