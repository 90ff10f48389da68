package lotstore

import (
	"context"
	"maps"
	"slices"
	"time"
)

// readyCount is the last count of ready samples of a trainer that has a limit for them.
type readyCount struct {
	// requested is set by HasCapacity and cleared when a count starts.
	requested bool
	countedAt time.Time
	full      bool
}

// HasCapacity reports whether new rollout groups of a trainer may start. It returns false while more samples are ready
// than the trainer's MaxReadySamples. It does not block: the count is updated by Run and is up to 15 seconds old, and
// groups in progress are not counted, so the limit can be exceeded by what is generated in that time. It returns true
// until the first count.
func (s *Store) HasCapacity(trainer string) bool {
	spec, ok := s.opts.Spec(trainer)
	if !ok || spec.MaxReadySamples == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.readyCounts[trainer]
	if r == nil {
		r = &readyCount{}
		s.readyCounts[trainer] = r
	}
	r.requested = true
	return !r.full
}

// CountReady updates the expired counts of trainers for which HasCapacity was called since the last count. If a count
// fails, the previous result stays in use.
func (s *Store) CountReady(ctx context.Context) {
	for _, trainer := range s.dueCounts() {
		spec, ok := s.opts.Spec(trainer)
		if !ok {
			continue
		}
		ready, err := s.countReadySamples(ctx, trainer, spec.MaxReadySamples)
		if err != nil {
			s.opts.Log.Warn().Err(err).Str("trainer", trainer).Msg("failed to count ready samples")
			continue
		}
		s.recordCount(trainer, ready > spec.MaxReadySamples)
	}
}

func (s *Store) dueCounts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var trainers []string
	for _, trainer := range slices.Sorted(maps.Keys(s.readyCounts)) {
		r := s.readyCounts[trainer]
		if r.requested && s.opts.Now().Sub(r.countedAt) >= readyCountInterval {
			r.requested = false
			trainers = append(trainers, trainer)
		}
	}
	return trainers
}

func (s *Store) recordCount(trainer string, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.readyCounts[trainer]
	if r.full != full {
		s.opts.Log.Info().Str("trainer", trainer).Bool("full", full).Msg("capacity for rollout groups changed")
	}
	r.full = full
	r.countedAt = s.opts.Now()
}

// countReadySamples counts the ready samples of a trainer. It stops once the count exceeds limit.
func (s *Store) countReadySamples(ctx context.Context, trainer string, limit int) (int, error) {
	head, err := s.readHead(ctx, trainer)
	if err != nil {
		return 0, err
	}
	inLastLot, err := s.lastLotReadyKeys(ctx, trainer, head)
	if err != nil {
		return 0, err
	}
	count := 0
	after := ""
	for count <= limit {
		page, last, err := s.readReadyPage(ctx, trainer, after)
		if err != nil || last == "" {
			return count, err
		}
		for _, r := range page {
			if !inLastLot[r.Key] {
				count += r.Samples
			}
		}
		after = last
	}
	return count, nil
}
