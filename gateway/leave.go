package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

// handOverTimeout bounds the hand-over of a job at a stop.
const handOverTimeout = 1500 * time.Millisecond

// Leave hands every job over: runs are broken off, their texts saved, and the ownership given up, so that other processes
// go on at once. Callers are still answered until the process stops.
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

// handOver ends the ownership of one job.
func (o *ownedJob) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, o.stop)() // ends a listing that the store does not answer
	for o.listOnce() {
	}
	o.stop()
	o.save(ctx, 1)
	for ctx.Err() == nil {
		o.g.mu.Lock()
		record, version := o.entry.record, o.entry.version
		mine := record.OwnedBy(o.g.opts.Host, o.g.opts.Incarnation) && record.Open()
		o.g.mu.Unlock()
		if !mine {
			return
		}
		record.Owner, record.OwnerIncarnation = "", ""
		committed, err := o.g.claim(ctx, o.entry, record, version)
		if committed {
			o.g.opts.Log.Info().Str("job", o.entry.id).Int("waiting", o.job.Count(batch.Waiting)).Msg("job handed over")
			return
		}
		if err != nil {
			sleep(ctx, listRetry)
		}
	}
	o.g.opts.Log.Warn().Str("job", o.entry.id).Msg("job not handed over; others take it over when this process is silent")
}

// Stop ends everything that still runs, stores the last counts and removes the heartbeat. It returns when ctx ends, whatever
// has not been done by then: others notice the silence.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopWork()
	ended := make(chan struct{})
	go func() {
		g.workWG.Wait()
		close(ended)
	}()
	var last sync.WaitGroup
	last.Go(func() { g.flushUsage(ctx) })
	last.Go(func() { g.removeBeat(ctx) })
	last.Wait()
	select {
	case <-ended:
	case <-ctx.Done():
		g.opts.Log.Warn().Msg("work was still running at the stop")
	}
	g.opts.Log.Info().Msg("stopped")
}

// removeBeat removes the heartbeat that this process has written last. A removal that is carried out late leaves the heartbeat
// of a later process alone.
func (g *Gateway) removeBeat(ctx context.Context) {
	g.mu.Lock()
	own := hosting.StoredRow{RowKey: hosting.RowKey{Table: beatTable, Key: g.opts.Host}, Version: g.heartbeatRowVersion}
	g.mu.Unlock()
	if own.Version == 0 {
		return
	}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{own}, Deletes: []hosting.RowKey{own.RowKey},
	})
	if err != nil || !result.Committed {
		g.opts.Log.Warn().AnErr("error", err).Msg("heartbeat not removed")
	}
}
