package lotstore

import (
	"context"
	"time"
)

// Run stores pending groups, counts ready samples and deletes expired rows until ctx ends.
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

// Retry tries to store the pending groups, then the copies held for peers. It stops at the first failure of the store.
func (s *Store) Retry(ctx context.Context) {
	if s.persistAll(ctx, s.pending) {
		s.persistAll(ctx, s.replicas)
		return
	}
	s.replicateAll(ctx)
}

// replicateAll replicates the pending groups that have no copy on a peer. It stops at the first failure, because each
// call may take the whole timeout and delay the next attempt to store the groups.
func (s *Store) replicateAll(ctx context.Context) {
	for _, p := range s.pending.list() {
		if !p.hasHolder() && !s.replicate(ctx, p) {
			return
		}
	}
}

// persistAll tries to store all groups of a buffer. It returns false if the store failed.
func (s *Store) persistAll(ctx context.Context, b *buffer) bool {
	for _, p := range b.list() {
		err := s.persist(ctx, p)
		if err != nil && !isPermanent(err) {
			return false
		}
		if err != nil {
			s.opts.Log.Error().Err(err).Str("trainer", p.trainer).Str("group", p.group).Msg("store rejected the group")
		}
		b.remove(groupID{p.trainer, p.group})
		if peer := p.finish(err); peer != nil {
			s.releaseReplica(ctx, peer, p)
		}
	}
	return true
}
