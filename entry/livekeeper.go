package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// liveTimeout bounds the scoring and the first store attempt of a live sample, whose caller has its answer already.
const liveTimeout = 30 * time.Second

// GroupSink stores completed sample groups. *lotstore.Store implements it.
type GroupSink interface {
	// AddGroup returns nil after the group is durable. When ctx ends first the sink keeps the group, and the error is an
	// *outcome.Refusal of kind store_unavailable with outcome "may have run".
	AddGroup(ctx context.Context, g samples.Group) error
	// Accepting reports whether new rollout work may start.
	Accepting() bool
	// HasCapacity reports whether new rollout groups of a trainer may start; false while too many samples wait for it.
	HasCapacity(trainer string) bool
	// PendingGroups returns the number of groups that are not durable yet.
	PendingGroups() int
}

// liveKeeper stores the samples of live requests in the background, in bounded memory.
type liveKeeper struct {
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

func newLiveKeeper(sink GroupSink, limit int, m *entryMetrics, log zerolog.Logger) *liveKeeper {
	ctx, cancel := context.WithCancel(context.Background())
	return &liveKeeper{sink: sink, limit: limit, metrics: m, log: log, ctx: ctx, cancel: cancel}
}

// keep runs complete and stores the group that it fills in. It returns at once; a sample that does not fit into the
// memory is dropped, counted and logged.
func (k *liveKeeper) keep(g samples.Group, size int, complete func(ctx context.Context, g *samples.Group) error) {
	if !k.reserve(size) {
		k.drop(g.ID, "the memory for live samples is full")
		return
	}
	go func() {
		defer k.free(size)
		ctx, cancel := context.WithTimeout(k.ctx, liveTimeout)
		defer cancel()
		if err := complete(ctx, &g); err != nil {
			k.drop(g.ID, "the scoring failed: "+err.Error())
			return
		}
		err := k.sink.AddGroup(ctx, g)
		if err != nil && !keptBySink(err) {
			k.drop(g.ID, "the store refused it: "+err.Error())
			return
		}
		k.metrics.groups.Inc()
	}()
}

// keptBySink reports whether the sink still holds a group that is not durable yet.
func keptBySink(err error) bool {
	r, ok := outcome.AsRefusal(err)
	return ok && r.Kind == outcome.KindStoreDown && r.Outcome == outcome.MayHaveRun
}

func (k *liveKeeper) reserve(size int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.bytes+size > k.limit {
		return false
	}
	k.bytes += size
	k.count++
	return true
}

func (k *liveKeeper) free(size int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytes -= size
	k.count--
}

func (k *liveKeeper) drop(id, reason string) {
	k.metrics.unkept.Inc()
	k.log.Warn().Str("request", id).Str("reason", reason).Msg("live sample not kept")
}

// pending counts the samples in this keeper and in the sink.
func (k *liveKeeper) pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sink == nil {
		return k.count
	}
	return k.count + k.sink.PendingGroups()
}
