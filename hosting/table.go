package hosting

import "context"

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with every write to any row and is never reused; it is at least 1.
	Revision int64 `json:"revision"`
}

// Condition is a requirement that must hold for a transaction to commit.
type Condition struct {
	Key string `json:"key"`
	// Revision is the expected revision of the row; 0 means that the row must be absent.
	Revision int64 `json:"revision"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction on the table, applied atomically.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// TxnResult is the outcome of a transaction that the table has committed or rejected.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Revision is the new revision of every row that the transaction put.
	Revision int64 `json:"revision,omitempty"`
	// Current holds the existing rows named by the conditions when the transaction did not commit.
	Current []Row `json:"current,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Commit applies txn if all its conditions hold. A failed condition is not an error: Commit returns Committed false.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Get returns the row, or an Error of KindNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}
