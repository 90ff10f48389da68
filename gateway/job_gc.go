package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// gcInterval is the time between two searches for jobs whose results no longer have to be readable.
	gcInterval = 5 * time.Second
	// gcClockMargin is added to the time for which the platform requires results to be readable, in case clocks
	// differ.
	gcClockMargin = 30 * time.Second
	// gcJobTimeout limits the deletion of one job.
	gcJobTimeout = 5 * time.Second
	// maxDeletesPerTxn limits the rows of one transaction; the store takes 100.
	maxDeletesPerTxn = 90
)

// jobGC deletes the rows of old jobs so that the store does not fill up.
type jobGC struct {
	g    *Gateway
	next time.Time
	busy bool
}

// beginIfDue reports whether a run is due and, if so, marks it as started. Only the duty holder's loop calls it.
func (c *jobGC) beginIfDue(now time.Time) bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if c.busy || now.Before(c.next) {
		return false
	}
	c.busy, c.next = true, now.Add(gcInterval)
	return true
}

// run deletes the expired jobs.
func (c *jobGC) run(ctx context.Context) {
	defer func() {
		c.g.mu.Lock()
		c.busy = false
		c.g.mu.Unlock()
	}()
	for _, id := range c.expiredJobs() {
		if err := c.delete(ctx, id); err != nil {
			c.g.opts.Log.Warn().Str("job", id).Err(err).Msg("cannot delete old job; will retry")
			return
		}
		c.g.opts.Log.Info().Str("job", id).Msg("old job deleted")
	}
}

// expiredJobs returns the jobs whose results no longer have to be readable.
func (c *jobGC) expiredJobs() []string {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	var list []string
	for id, e := range c.g.jobs {
		age := c.g.storeClock() - e.record.AcceptedAt
		done := e.record.Ended || e.record.Listed == e.record.Total || age > 2*e.record.Lifetime
		if done && age > c.g.opts.Timing.BatchLifetime+gcClockMargin {
			list = append(list, id)
		}
	}
	return list
}

// delete removes the rows of a job. The record goes last, so that an interrupted deletion is repeated.
func (c *jobGC) delete(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, gcJobTimeout)
	defer cancel()
	for _, table := range []string{progressTable, carryoverTable, resultTable} {
		rows, _, err := readRange(ctx, c.g.opts.Rows, jobRange(table, id), c.g.recordStoreResponse)
		if err != nil {
			return err
		}
		var keys []hosting.RowKey
		for _, r := range rows {
			keys = append(keys, r.RowKey)
		}
		if err := c.deleteRows(ctx, keys); err != nil {
			return err
		}
	}
	if err := c.deleteRows(ctx, c.contentKeys(id)); err != nil {
		return err
	}
	_, err := c.g.opts.Rows.Commit(ctx, hosting.RowTxn{Deletes: []hosting.RowKey{jobKey(jobTable, id)}})
	return err
}

// contentKeys returns the keys of a job's content, which is not read: this host may be in a region in which the job must
// not be kept.
func (c *jobGC) contentKeys(id string) []hosting.RowKey {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	var keys []hosting.RowKey
	if e, ok := c.g.jobs[id]; ok {
		for chunk := range e.record.Chunks {
			keys = append(keys, chunkKey(id, chunk))
		}
	}
	return keys
}

// deleteRows deletes rows in transactions of at most maxDeletesPerTxn.
func (c *jobGC) deleteRows(ctx context.Context, keys []hosting.RowKey) error {
	for len(keys) > 0 {
		n := min(maxDeletesPerTxn, len(keys))
		if _, err := c.g.opts.Rows.Commit(ctx, hosting.RowTxn{Deletes: keys[:n]}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}
