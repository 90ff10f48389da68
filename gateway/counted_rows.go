package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// instrumentedRows counts store calls by their result and measures the duration of all but Changes, which waits for
// changes.
type instrumentedRows struct {
	hosting.Rows
	met *metricSet
}

// record updates the metrics after a call.
func (c *instrumentedRows) record(call string, started time.Time, err error) {
	result := "ok"
	var failed *hosting.Error
	if errors.As(err, &failed) {
		result = string(failed.Kind)
	}
	c.met.storeCalls(call, result).Inc()
	if call != "changes" {
		c.met.storeTime.UpdateDuration(started)
	}
}

// Commit implements hosting.Rows.
func (c *instrumentedRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	started := time.Now()
	result, err := c.Rows.Commit(ctx, txn)
	c.record("commit", started, err)
	return result, err
}

// Range implements hosting.Rows.
func (c *instrumentedRows) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	started := time.Now()
	page, err := c.Rows.Range(ctx, r)
	c.record("range", started, err)
	return page, err
}

// Parts implements hosting.Rows.
func (c *instrumentedRows) Parts(ctx context.Context, table string) ([]string, error) {
	started := time.Now()
	parts, err := c.Rows.Parts(ctx, table)
	c.record("parts", started, err)
	return parts, err
}

// Changes implements hosting.Rows.
func (c *instrumentedRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	started := time.Now()
	changes, err := c.Rows.Changes(ctx, table, after, wait)
	c.record("changes", started, err)
	return changes, err
}
