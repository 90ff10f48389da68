package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

// defaultMaxFailures is the number of failed runs after which an item is abandoned where the route sets none.
const defaultMaxFailures = 3

// ownedJob is a job whose items this process runs.
type ownedJob struct {
	g     *Gateway
	entry *jobEntry
	job   *batch.Job
	// ctx ends with the ownership, and with it all runs of the job.
	ctx  context.Context
	stop context.CancelFunc
	// ready wakes the lister when an item has finished.
	ready chan struct{}
	// saved holds for each item how many events of its text the store knows.
	saved map[string]int
	// held is set until texts of an earlier job were looked for; no item starts meanwhile.
	held bool
	// runs holds the runs at upstreams.
	runs map[*batch.Progress]*itemRun
	// listing is held while results are written, so that no two writers list the same results.
	listing sync.Mutex
}

// own begins to run a job. texts are the texts in progress of its items. The caller holds the lock.
func (g *Gateway) own(e *jobEntry, spec batch.Spec, texts map[string]batch.Text) {
	limits := batch.Limits{MaxFailures: defaultMaxFailures, Rate: g.tokenRateOf(spec.Model)}
	if g.config != nil {
		if route, ok := g.config.Route(e.record.Host, e.record.PathPrefix); ok {
			limits.MaxFailures, limits.SingleVersion = route.MaxAttempts, route.SingleVersion
		}
	}
	o := &ownedJob{
		g: g, entry: e, job: batch.NewJob(spec, e.record, limits), ready: make(chan struct{}, 1),
		saved: map[string]int{}, runs: map[*batch.Progress]*itemRun{},
	}
	now := time.Now()
	for _, p := range o.job.Waiting(now) {
		p.NotBefore = now // its wait counts from here
	}
	for id, text := range texts {
		o.saved[id] = text.Last()
	}
	o.ctx, o.stop = context.WithCancel(g.workCtx)
	e.owned = o
	o.scoreAll(o.takeTexts(texts))
	g.workWG.Go(func() { o.guarded("list", o.listLoop) })
	g.workWG.Go(func() { o.guarded("save", o.saveLoop) })
	g.wakeScheduler()
}

// ownedChanged follows a change of the record of an owned job. The caller holds the lock.
func (g *Gateway) ownedChanged(e *jobEntry) {
	o := e.owned
	o.job.Record = e.record
	if !e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		g.opts.Log.Warn().Str("job", e.id).Str("owner", e.record.Owner).Msg("job taken over by another process")
		o.end()
	} else if e.record.Ended {
		g.opts.Log.Info().Str("job", e.id).Int("listed", e.record.Listed).Int("total", e.record.Total).Msg("job ended")
		o.finish()
	}
}

// guarded runs a loop of the job. A job whose loop failed is given up, and taken over again like any job without an owner.
func (o *ownedJob) guarded(what string, loop func()) {
	if !o.g.recoverPanic(what, loop) {
		return
	}
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	o.end()
}

// finish ends the ownership of a job of which nothing more is to be run, and keeps what it leaves: groups that were not
// complete for the trainer may come again in a later job. The caller holds the lock.
func (o *ownedJob) finish() {
	o.end()
	o.entry.leftover = o.leftover()
	o.g.forgetLeftovers(o.g.storeClock())
	o.g.workWG.Go(o.leave)
}

// end stops everything that runs for the job. The caller holds the lock.
func (o *ownedJob) end() {
	o.stop()
	if o.entry.owned == o {
		o.entry.owned = nil
	}
}

// signal wakes the lister.
func (o *ownedJob) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}
