package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/radishshelf/radishshelf/hosting"
)

// Operations of the table as they appear in errors.
const (
	opCommit = "table commit"
	opGet    = "table get"
	opScan   = "table scan"
)

// Table is an in-memory transactional table. All row revisions come from one counter.
type Table struct {
	Faults FaultInjector

	mu       sync.Mutex
	rows     map[string]hosting.Row
	keys     []string // sorted
	revision int64
}

func newTable() *Table { return &Table{rows: make(map[string]hosting.Row)} }

// Commit implements hosting.Table.
func (t *Table) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	if err := checkTxn(txn); err != nil {
		return hosting.TxnResult{}, err
	}
	if err := t.Faults.beforeCall(ctx, opCommit); err != nil {
		return hosting.TxnResult{}, err
	}
	result := t.apply(txn)
	if err := t.Faults.afterWrite(opCommit); err != nil {
		return hosting.TxnResult{}, err
	}
	return result, nil
}

// apply commits txn if all its conditions hold; otherwise it returns the current rows of the conditions.
func (t *Table) apply(txn hosting.Txn) hosting.TxnResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.conditionsHold(txn.Conditions) {
		return hosting.TxnResult{Current: t.currentRows(txn.Conditions)}
	}
	t.revision++
	for _, key := range txn.Deletes {
		t.remove(key)
	}
	for _, put := range txn.Puts {
		t.insert(hosting.Row{Key: put.Key, Value: bytes.Clone(put.Value), Revision: t.revision})
	}
	return hosting.TxnResult{Committed: true, Revision: t.revision}
}

// conditionsHold reports whether every condition holds; the revision of a missing row is 0. The caller must hold t.mu.
func (t *Table) conditionsHold(conditions []hosting.Condition) bool {
	for _, c := range conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}

func (t *Table) currentRows(conditions []hosting.Condition) []hosting.Row {
	var rows []hosting.Row
	for _, c := range conditions {
		if row, ok := t.rows[c.Key]; ok {
			rows = append(rows, cloneRow(row))
		}
	}
	return rows
}

func (t *Table) insert(row hosting.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		at, _ := slices.BinarySearch(t.keys, row.Key)
		t.keys = slices.Insert(t.keys, at, row.Key)
	}
	t.rows[row.Key] = row
}

func (t *Table) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	at, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, at, at+1)
}

// Get implements hosting.Table.
func (t *Table) Get(ctx context.Context, key string) (hosting.Row, error) {
	if err := t.Faults.beforeCall(ctx, opGet); err != nil {
		return hosting.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return hosting.Row{}, notFound(opGet, "row "+key)
	}
	return cloneRow(row), nil
}

// Scan implements hosting.Table. It returns at most MaxScanRows rows.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]hosting.Row, error) {
	if limit <= 0 {
		return nil, invalid(opScan, "the limit is not positive", "ask for at least one row")
	}
	if err := t.Faults.beforeCall(ctx, opScan); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var rows []hosting.Row
	for ; at < len(t.keys) && len(rows) < min(limit, MaxScanRows); at++ {
		key := t.keys[at]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, cloneRow(t.rows[key]))
		}
	}
	return rows, nil
}

func cloneRow(row hosting.Row) hosting.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
