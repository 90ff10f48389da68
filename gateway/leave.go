package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
)

// handOverTimeout limits the hand-over of a job when the process stops.
const handOverTimeout = 1500 * time.Millisecond

// DeregistrationDelay is the time after which the platform sends no new connections to a process that is leaving. Requests
// that arrive later come over connections that were opened before.
const DeregistrationDelay = 2500 * time.Millisecond

// ErrStopping is the cause with which the contexts of requests are cancelled that are still in flight when the process has to
// stop. They are answered; their connections are not just closed.
var ErrStopping = errors.New("the process stops")

// Leave hands over all jobs: it cancels their runs, saves their texts and releases their ownership, so that other
// processes continue at once. Callers are still served until stopAt. Late requests that may last longer are refused.
func (g *Gateway) Leave(stopAt time.Time) {
	g.mu.Lock()
	g.leaving, g.leavingSince, g.stopAt = true, time.Now(), stopAt
	var owned []*ownedJob
	for _, e := range g.jobs {
		if e.owned != nil {
			owned = append(owned, e.owned)
		}
	}
	g.mu.Unlock()
	g.opts.Log.Info().Int("jobs", len(owned)).Msg("leaving")
	select {
	case g.heartbeatDue <- struct{}{}: // others assign no more jobs to this process once they know
	default:
	}
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

// checkStop returns a refusal if the process is leaving and a request that may last until deadline should not be sent any
// more: other processes can still serve it.
func (g *Gateway) checkStop(deadline, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leaving || now.Before(g.leavingSince.Add(DeregistrationDelay)) || !deadline.After(g.stopAt) {
		return nil
	}
	return unavailable(outcome.KindLeaving, "this process stops before the request has certainly ended", retryAfterStart)
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
		o.handedOver = true
		o.g.mu.Unlock()
		if !stillOwned {
			return
		}
		o.g.markReleased(&record)
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
