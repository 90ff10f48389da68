package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
)

// endTimeout limits how long ending a job waits for the store.
const endTimeout = 2500 * time.Millisecond

// EndBatch ends a job: no further item starts, and running items are cancelled. It is idempotent. It fails if the store
// does not accept the change within endTimeout.
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
		committed, err := g.commitRecord(ctx, e, record, version)
		if committed {
			g.opts.Log.Info().Str("job", e.id).Int("listed", record.Listed).Int("total", record.Total).Msg("job ended by its caller")
			return nil
		}
		if ctx.Err() != nil {
			g.opts.Log.Warn().Str("job", e.id).AnErr("error", err).Msg("cannot store the end of a job")
			return unavailable(outcome.KindStoreDown, "the end of the job cannot be stored", retryAfterStart)
		}
		if err != nil {
			sleep(ctx, listRetryDelay)
		}
	}
}
