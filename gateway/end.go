package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
)

// endPatience bounds how long the end of a job waits for the store.
const endPatience = 2500 * time.Millisecond

// EndBatch ends a job: no further item starts, and what runs is broken off. Repeats succeed.
func (g *Gateway) EndBatch(ctx context.Context, r call.BatchRequest) error {
	e, err := g.findJob(ctx, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endPatience)
	defer cancel()
	for {
		g.mu.Lock()
		record, version := e.record, e.version
		g.mu.Unlock()
		if record.Ended {
			return nil
		}
		record.Ended = true
		committed, err := g.commitRecord(ctx, e, record, version)
		if committed {
			g.opts.Log.Info().Str("job", e.id).Int("listed", record.Listed).Int("total", record.Total).Msg("job ended by its caller")
			return nil
		}
		if ctx.Err() != nil {
			g.opts.Log.Warn().Str("job", e.id).AnErr("error", err).Msg("end of a job not stored")
			return refuseFor(outcome.KindStoreDown, "the end of the job could not be stored", retryStart)
		}
		if err != nil {
			sleep(ctx, listRetryDelay)
		}
	}
}
