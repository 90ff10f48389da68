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
	metrics *metricSet
}

// record updates the metrics after a call.
func (i *instrumentedRows) record(call string, started time.Time, err error) {
	result := "ok"
	var failed *hosting.Error
	if errors.As(err, &failed) {
		result = string(failed.Kind)
	}
	i.metrics.storeCalls(call, result).Inc()
	if call != "changes" {
		i.metrics.storeTime.UpdateDuration(started)
	}
}

// Commit implements hosting.Rows.
func (i *instrumentedRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	started := time.Now()
	result, err := i.Rows.Commit(ctx, txn)
	i.record("commit", started, err)
	return result, err
}

// Range implements hosting.Rows.
func (i *instrumentedRows) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	started := time.Now()
	page, err := i.Rows.Range(ctx, r)
	i.record("range", started, err)
	return page, err
}

// Parts implements hosting.Rows.
func (i *instrumentedRows) Parts(ctx context.Context, table string) ([]string, error) {
	started := time.Now()
	parts, err := i.Rows.Parts(ctx, table)
	i.record("parts", started, err)
	return parts, err
}

// Changes implements hosting.Rows.
func (i *instrumentedRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	started := time.Now()
	changes, err := i.Rows.Changes(ctx, table, after, wait)
	i.record("changes", started, err)
	return changes, err
}
