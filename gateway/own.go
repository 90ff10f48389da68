package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
)

// ownedJob is a job whose items this process runs.
type ownedJob struct {
	g     *Gateway
	entry *jobEntry
	job   *batch.Job
	// ctx ends with the ownership, which cancels all runs of the job.
	ctx  context.Context
	stop context.CancelFunc
	// listSignal wakes the lister when an item has finished.
	listSignal chan struct{}
	// savedEvents holds the number of events of each item's saved text in the store, by item ID.
	savedEvents map[string]int
	// awaitingCarryover is set until the carryover of earlier jobs was read; no item starts meanwhile.
	awaitingCarryover bool
	// runs holds the runs in progress.
	runs map[*batch.Progress]*itemRun
	// displaced is set once the job has to leave this host because of its regions.
	displaced bool
	// handedOver is set once this process has begun to give the job to another one.
	handedOver bool
	// resuming holds the texts that have not gone on since the last owner released the job.
	resuming resumingTexts
	// listing is held while results are written, so that no two goroutines list the same results.
	listing sync.Mutex
}

// startOwned starts to run a job. texts are the saved texts of its items. The caller holds g.mu.
func (g *Gateway) startOwned(e *jobEntry, spec batch.Spec, texts map[string]batch.Text) {
	estimates := g.textEstimatesOf(spec.Model)
	limits := batch.Limits{Rate: &estimates.rate, Length: &estimates.length}
	limits.MaxFailures, limits.SingleVersion = g.jobLimits(&e.record)
	o := &ownedJob{
		g: g, entry: e, job: batch.NewJob(spec, e.record, limits), listSignal: make(chan struct{}, 1),
		savedEvents: map[string]int{}, runs: map[*batch.Progress]*itemRun{},
	}
	now := time.Now()
	for _, p := range o.job.Waiting(now) {
		p.NotBefore = now // the wait time counts from here
	}
	for id, text := range texts {
		o.savedEvents[id] = text.LastEventID()
	}
	o.ctx, o.stop = context.WithCancel(g.workCtx)
	e.owned = o
	o.scoreAll(o.applySavedTexts(texts))
	g.workWG.Go(func() { o.recoverPanic("list", o.listLoop) })
	g.workWG.Go(func() { o.recoverPanic("save", o.saveLoop) })
	g.wakeScheduler()
}

// ownedRecordChanged handles a change of the record of an owned job. The caller holds g.mu.
func (g *Gateway) ownedRecordChanged(e *jobEntry) {
	o := e.owned
	o.job.Record = e.record
	if !e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) && o.handedOver {
		o.release() // logged by the hand-over
	} else if !e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) {
		g.opts.Log.Warn().Str("job", e.id).Str("owner", e.record.Owner).Msg("job taken over by another process")
		o.release()
	} else if e.record.Ended {
		g.opts.Log.Info().Str("job", e.id).Int("listed", e.record.Listed).Int("total", e.record.Total).Msg("job ended")
		o.finish()
	}
}

// recoverPanic runs a goroutine of the job. If it panics, the job is released and adopted again like any job without
// an owner.
func (o *ownedJob) recoverPanic(operation string, f func()) {
	if !o.g.recoverPanic(operation, f) {
		return
	}
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	o.release()
}

// finish releases a job of which nothing more has to be run and keeps its carryover: groups that were not complete
// for the trainer may come again in a later job. The caller holds g.mu.
func (o *ownedJob) finish() {
	o.release()
	o.entry.carryover = o.carryover()
	o.g.dropOldCarryovers(o.g.storeClock())
	o.g.workWG.Go(o.saveCarryover)
}

// release ends the ownership and cancels everything that runs for the job. The caller holds g.mu.
func (o *ownedJob) release() {
	o.stop()
	if o.entry.owned == o {
		o.entry.owned = nil
	}
}

func (o *ownedJob) signalLister() {
	select {
	case o.listSignal <- struct{}{}:
	default:
	}
}
