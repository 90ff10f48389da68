package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// liveTimeout limits scoring and the first store attempt of a live sample. Its caller already has the response.
const liveTimeout = 30 * time.Second

// GroupSink stores completed sample groups. *lotstore.Store implements it.
type GroupSink interface {
	// AddGroup returns nil once the group is durable. If ctx ends first, the sink keeps the group and the error is an
	// *outcome.Refusal of kind store_unavailable with outcome "may have run".
	AddGroup(ctx context.Context, g samples.Group) error
	// Accepting reports whether new rollout work may start.
	Accepting() bool
	// HasCapacity reports whether new rollout groups of a trainer may start. It is false while too many samples wait for
	// the trainer.
	HasCapacity(trainer string) bool
	// PendingGroups returns the number of groups that are not durable yet.
	PendingGroups() int
}

// liveSampleStore scores and stores the samples of live requests in the background, with limited memory.
type liveSampleStore struct {
	sink    GroupSink
	limit   int
	metrics *entryMetrics
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	bytes int
	count int
}

func newLiveSampleStore(sink GroupSink, limit int, m *entryMetrics, log zerolog.Logger) *liveSampleStore {
	ctx, cancel := context.WithCancel(context.Background())
	return &liveSampleStore{sink: sink, limit: limit, metrics: m, log: log, ctx: ctx, cancel: cancel}
}

// store scores and stores a group in the background. It does not block. size is the memory of the group in bytes; a
// group that exceeds the remaining memory is dropped, counted and logged.
func (s *liveSampleStore) store(g samples.Group, size int, score func(ctx context.Context, g *samples.Group) error) {
	if !s.reserve(size) {
		s.drop(g.ID, "the live sample buffer is full")
		return
	}
	go func() {
		defer s.release(size)
		ctx, cancel := context.WithTimeout(s.ctx, liveTimeout)
		defer cancel()
		if err := score(ctx, &g); err != nil {
			s.drop(g.ID, "scoring failed: "+err.Error())
			return
		}
		err := s.sink.AddGroup(ctx, g)
		if err != nil && !heldBySink(err) {
			s.drop(g.ID, "the store refused the group: "+err.Error())
			return
		}
		s.metrics.groupsStored.Inc()
	}()
}

// heldBySink reports whether err means that the sink still holds a group that is not durable yet.
func heldBySink(err error) bool {
	r, ok := outcome.AsRefusal(err)
	return ok && r.Kind == outcome.KindStoreDown && r.Outcome == outcome.MayHaveRun
}

func (s *liveSampleStore) reserve(size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes+size > s.limit {
		return false
	}
	s.bytes += size
	s.count++
	return true
}

func (s *liveSampleStore) release(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= size
	s.count--
}

func (s *liveSampleStore) drop(id, reason string) {
	s.metrics.groupsDropped.Inc()
	s.log.Warn().Str("request", id).Str("reason", reason).Msg("live sample dropped")
}

// pending returns the number of samples in this store and of groups in the sink that are not durable yet.
func (s *liveSampleStore) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sink == nil {
		return s.count
	}
	return s.count + s.sink.PendingGroups()
}
