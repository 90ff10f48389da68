package gateway

import (
	"context"
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
	for o.listOnce() {
	}
	o.g.mu.Lock()
	o.stop()
	o.g.mu.Unlock()
	o.save(1)
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

// Stop ends everything that still runs and removes the heartbeat.
func (g *Gateway) Stop() {
	g.stopWork()
	g.ownedWG.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	key := hosting.RowKey{Table: beatTable, Key: g.opts.Host}
	if _, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{Deletes: []hosting.RowKey{key}}); err != nil {
		g.opts.Log.Warn().Err(err).Msg("heartbeat not removed")
	}
	g.opts.Log.Info().Msg("stopped")
}
