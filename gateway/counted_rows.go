package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// countedRows counts the calls of the store by their result, and measures those that do not wait for changes.
type countedRows struct {
	hosting.Rows
	met *metricSet
}

// note takes the end of a call.
func (c *countedRows) note(call string, started time.Time, err error) {
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
func (c *countedRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	started := time.Now()
	result, err := c.Rows.Commit(ctx, txn)
	c.note("commit", started, err)
	return result, err
}

// Range implements hosting.Rows.
func (c *countedRows) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	started := time.Now()
	page, err := c.Rows.Range(ctx, r)
	c.note("range", started, err)
	return page, err
}

// Parts implements hosting.Rows.
func (c *countedRows) Parts(ctx context.Context, table string) ([]string, error) {
	started := time.Now()
	parts, err := c.Rows.Parts(ctx, table)
	c.note("parts", started, err)
	return parts, err
}

// Changes implements hosting.Rows.
func (c *countedRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	started := time.Now()
	changes, err := c.Rows.Changes(ctx, table, after, wait)
	c.note("changes", started, err)
	return changes, err
}
