package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// monotonicRows rejects reads that are older than what this process has already seen of the store. After losing
// recent history the store has been observed to serve reads that are seconds behind.
type monotonicRows struct {
	hosting.Rows
	// newest is the highest version in any response.
	newest atomic.Int64
}

// errStaleRead is the cause of a rejected read.
var errStaleRead = errors.New("the response is older than an earlier one")

// advance raises newest to version if that is higher.
func (m *monotonicRows) advance(version int64) {
	for {
		old := m.newest.Load()
		if version <= old || m.newest.CompareAndSwap(old, version) {
			return
		}
	}
}

// Commit implements hosting.Rows.
func (m *monotonicRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	result, err := m.Rows.Commit(ctx, txn)
	if err == nil {
		m.advance(result.Version)
	}
	return result, err
}

// Range implements hosting.Rows. A stale read is reported as unavailable.
func (m *monotonicRows) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	before := m.newest.Load()
	page, err := m.Rows.Range(ctx, r)
	if err != nil {
		return page, err
	}
	if page.Version < before {
		return hosting.RowPage{}, &hosting.Error{
			Kind: hosting.KindUnavailable, Op: "range", Err: errStaleRead, Remedy: "read again",
		}
	}
	m.advance(page.Version)
	return page, nil
}

// Changes implements hosting.Rows.
func (m *monotonicRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	changes, err := m.Rows.Changes(ctx, table, after, wait)
	if err == nil {
		m.advance(changes.Version)
	}
	return changes, err
}
