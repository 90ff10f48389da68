package hosting

import (
	"context"
	"time"
)

// RowKey identifies a row of the partitioned store.
type RowKey struct {
	Table string `json:"table"`
	// Part is the partition, which may be empty. A transaction touches one partition.
	Part string `json:"part,omitempty"`
	Key  string `json:"key"`
}

// StoredRow is a row with its content and version.
type StoredRow struct {
	RowKey
	Value []byte `json:"value,omitempty"`
	// Version is the value of a store-wide counter that increases with each transaction.
	Version int64 `json:"version,omitempty"`
}

// RowTxn is a transaction on rows, applied atomically.
type RowTxn struct {
	// Conditions lists the version that each row must have; 0 means that the row must be absent.
	Conditions []StoredRow `json:"conditions,omitempty"`
	Puts       []StoredRow `json:"puts,omitempty"`
	Deletes    []RowKey    `json:"deletes,omitempty"`
}

// RowTxnResult is the outcome of a transaction that the store has committed or rejected.
type RowTxnResult struct {
	Committed bool `json:"committed"`
	// Version is the new version of every row that the transaction put.
	Version int64 `json:"version"`
	// Current holds the existing rows named by the conditions when the transaction did not commit.
	Current []StoredRow `json:"current,omitempty"`
	// Clock is the store's monotonic clock; see RowPage.Clock.
	Clock time.Duration `json:"clock"`
}

// RowRange selects rows of one partition with keys from From (inclusive) to To (exclusive; empty means no bound).
type RowRange struct {
	Table string `json:"table"`
	Part  string `json:"part,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
	// Limit is the largest number of rows returned; 0 leaves it to the store.
	Limit int `json:"limit,omitempty"`
}

// RowPage is a consistent snapshot of the rows in a RowRange, in ascending order of the keys.
type RowPage struct {
	Rows []StoredRow `json:"rows,omitempty"`
	// Truncated reports that the range has more rows.
	Truncated bool `json:"truncated,omitempty"`
	// Version is the newest version of the store at the time of the snapshot.
	Version int64 `json:"version"`
	// Clock is the store's monotonic clock; it has no relation to the time of day.
	Clock time.Duration `json:"clock"`
}

// RowChange is a row that was written, or deleted if Deleted is set.
type RowChange struct {
	StoredRow
	Deleted bool `json:"deleted,omitempty"`
}

// RowChanges are the changes of one table after a version, in order.
type RowChanges struct {
	Changes []RowChange   `json:"changes,omitempty"`
	Version int64         `json:"version"`
	Clock   time.Duration `json:"clock"`
}

// Rows is the partitioned transactional store. Every failure is an *Error.
type Rows interface {
	// Commit applies txn if all its conditions hold. A failed condition is not an error: Commit returns Committed false.
	Commit(ctx context.Context, txn RowTxn) (RowTxnResult, error)
	// Range returns the first page of a range.
	Range(ctx context.Context, r RowRange) (RowPage, error)
	// Parts returns all partitions of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Changes waits up to wait for changes of a table after a version. KindExpired means that the history is no longer
	// available and the table must be read again.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (RowChanges, error)
}
