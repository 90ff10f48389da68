package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
)

// endTimeout bounds how long the end of a job waits for the store.
const endTimeout = 2500 * time.Millisecond

// EndBatch ends a job: no further item starts, and what runs is broken off. Repeats succeed.
func (g *Gateway) EndBatch(ctx context.Context, r call.BatchRequest) error {
	e, err := g.findJob(ctx, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for {
		g.mu.Lock()
		record, version := e.record, e.version
		g.mu.Unlock()
		if record.Ended {
			return nil
		}
		record.Ended = true
		committed, err := g.claim(ctx, e, record, version)
		if committed {
			g.opts.Log.Info().Str("job", e.id).Int("listed", record.Listed).Int("total", record.Total).Msg("job ended by its caller")
			return nil
		}
		if ctx.Err() != nil {
			g.opts.Log.Warn().Str("job", e.id).AnErr("error", err).Msg("end of a job not stored")
			return unavailable(outcome.KindStoreDown, "the end of the job could not be stored", retryAfterStart)
		}
		if err != nil {
			sleep(ctx, listRetry)
		}
	}
}
