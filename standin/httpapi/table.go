package httpapi

import (
	"context"

	"github.com/radishshelf/radishshelf/hosting"
)

type table struct{ c *client }

// Commit implements hosting.Table.
func (t table) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	var result hosting.TxnResult
	err := t.c.callJSON(ctx, "table commit", pathCommit, write, txn, &result)
	return result, err
}

// Get implements hosting.Table.
func (t table) Get(ctx context.Context, key string) (hosting.Row, error) {
	var row hosting.Row
	err := t.c.callJSON(ctx, "table get", pathGet, read, getRequest{Key: key}, &row)
	return row, err
}

// Scan implements hosting.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]hosting.Row, error) {
	var resp scanResponse
	err := t.c.callJSON(ctx, "table scan", pathScan, read, scanRequest{Prefix: prefix, After: after, Limit: limit}, &resp)
	return resp.Rows, err
}
