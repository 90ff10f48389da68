package slopes

import (
	"context"
	"sync"

	"github.com/radishshelf/radishshelf/hosting"
)

// tableCount is what a table was asked for. Rows counts the rows that scans and gets returned, Bytes the values written.
type tableCount struct {
	Writes, RowsWritten, Reads, RowsRead, Bytes float64
}

func (c tableCount) minus(o tableCount) tableCount {
	return tableCount{
		c.Writes - o.Writes, c.RowsWritten - o.RowsWritten, c.Reads - o.Reads, c.RowsRead - o.RowsRead, c.Bytes - o.Bytes,
	}
}

// countedTable counts the calls to a table.
type countedTable struct {
	hosting.Table

	mu    sync.Mutex
	count tableCount
}

func newCountedTable(table hosting.Table) *countedTable {
	return &countedTable{Table: table}
}

func (t *countedTable) total() tableCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

func (t *countedTable) note(change func(*tableCount)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.count)
}

// Commit implements hosting.Table.
func (t *countedTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	size := 0
	for _, put := range txn.Puts {
		size += len(put.Value)
	}
	t.note(func(c *tableCount) {
		c.Writes++
		c.RowsWritten += float64(len(txn.Puts) + len(txn.Deletes))
		c.Bytes += float64(size)
	})
	return t.Table.Commit(ctx, txn)
}

// Get implements hosting.Table.
func (t *countedTable) Get(ctx context.Context, key string) (hosting.Row, error) {
	t.note(func(c *tableCount) {
		c.Reads++
		c.RowsRead++
	})
	return t.Table.Get(ctx, key)
}

// Scan implements hosting.Table.
func (t *countedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]hosting.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.note(func(c *tableCount) {
		c.Reads++
		c.RowsRead += float64(len(rows))
	})
	return rows, err
}
