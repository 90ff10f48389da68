package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

// handOverTimeout limits the hand-over of a job when the process stops.
const handOverTimeout = 1500 * time.Millisecond

// Leave hands over all jobs: it cancels their runs, saves their texts and releases their ownership, so that other
// processes continue at once. Callers are still served until the process stops.
func (g *Gateway) Leave() {
	g.mu.Lock()
	g.leaving = true
	var owned []*ownedJob
	for _, e := range g.jobs {
		if e.owned != nil {
			owned = append(owned, e.owned)
		}
	}
	g.mu.Unlock()
	g.opts.Log.Info().Int("jobs", len(owned)).Msg("leaving")
	g.stopDuties()
	done := make(chan struct{})
	for _, o := range owned {
		go func() {
			o.handOver()
			done <- struct{}{}
		}()
	}
	for range owned {
		<-done
	}
}

// handOver saves the state of the job and releases its ownership.
func (o *ownedJob) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, o.stop)() // cancels a listing to which the store does not respond
	for o.listOnce() {
	}
	o.stop()
	o.saveTexts(ctx, 1)
	for ctx.Err() == nil {
		o.g.mu.Lock()
		record, version := o.entry.record, o.entry.version
		stillOwned := record.OwnedBy(o.g.opts.Host, o.g.opts.Incarnation) && record.Open()
		o.g.mu.Unlock()
		if !stillOwned {
			return
		}
		record.Owner, record.OwnerIncarnation = "", ""
		committed, err := o.g.commitRecord(ctx, o.entry, record, version)
		if committed {
			o.g.opts.Log.Info().Str("job", o.entry.id).Int("waiting", o.job.Count(batch.Waiting)).Msg("job handed over")
			return
		}
		if err != nil {
			sleep(ctx, listRetryDelay)
		}
	}
	o.g.opts.Log.Warn().Str("job", o.entry.id).Msg("job not handed over; others take it over once this process counts as dead")
}

// Stop cancels everything that still runs, stores the last usage counts and removes the heartbeat. It returns when
// ctx ends, even if that is incomplete; other processes then notice the missing heartbeats.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopWork()
	ended := make(chan struct{})
	go func() {
		g.workWG.Wait()
		close(ended)
	}()
	var last sync.WaitGroup
	last.Go(func() { g.flushUsage(ctx) })
	last.Go(func() { g.removeHeartbeat(ctx) })
	last.Wait()
	select {
	case <-ended:
	case <-ctx.Done():
		g.opts.Log.Warn().Msg("work was still running at the stop deadline")
	}
	g.opts.Log.Info().Msg("stopped")
}

// removeHeartbeat removes the heartbeat that this process wrote last. A removal that is executed late does not affect
// the heartbeat of a later process.
func (g *Gateway) removeHeartbeat(ctx context.Context) {
	g.mu.Lock()
	own := hosting.StoredRow{RowKey: hosting.RowKey{Table: heartbeatTable, Key: g.opts.Host}, Version: g.heartbeatRowVersion}
	g.mu.Unlock()
	if own.Version == 0 {
		return
	}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{own}, Deletes: []hosting.RowKey{own.RowKey},
	})
	if err != nil || !result.Committed {
		g.opts.Log.Warn().AnErr("error", err).Msg("cannot remove heartbeat")
	}
}
