// Package rows is an in-memory store with partitions, conditions, watches and a bounded history, for tests. Faults are
// injected before each call.
package rows

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Call names a call for a Fault.
type Call string

// Calls of the store.
const (
	Commit  Call = "commit"
	Range   Call = "range"
	Parts   Call = "parts"
	Changes Call = "changes"
)

// Fault is what happens to one call.
type Fault int

const (
	// NoFault lets the call through.
	NoFault Fault = iota
	// Refuse answers that nothing was done.
	Refuse
	// DropResponse does what was asked and loses the answer.
	DropResponse
	// DropCall does nothing and answers nothing.
	DropCall
	// Defer answers nothing and does what was asked when Flush is called, if the conditions still hold.
	Defer
	// Hang answers nothing until the caller gives up.
	Hang
)

// Injector decides the fault of a call. txn is nil for reads.
type Injector func(call Call, txn *hosting.RowTxn) Fault

// Store holds the rows. It implements hosting.Rows.
type Store struct {
	mu               sync.Mutex
	rows             map[hosting.RowKey]hosting.StoredRow
	history          []hosting.RowChange
	compactedVersion int64
	version          int64
	started          time.Time
	changed          chan struct{}
	inject           Injector
	deferred         []hosting.RowTxn
}

var _ hosting.Rows = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		rows: map[hosting.RowKey]hosting.StoredRow{}, started: time.Now(), changed: make(chan struct{}), version: 1,
	}
}

// SetFaults replaces the decision about faults; nil lets every call through.
func (s *Store) SetFaults(inject Injector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = inject
}

// Compact drops the history, so that watches have to read their table again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion = s.version
	s.history = nil
}

// ApplyDeferred carries out the transactions that were held back.
func (s *Store) ApplyDeferred() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.deferred {
		s.apply(txn)
	}
	s.deferred = nil
}

// Put writes a row without a condition, as an operator or upstream does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: hosting.RowKey{Table: table, Key: key}, Value: value}}})
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(hosting.RowTxn{Deletes: []hosting.RowKey{{Table: table, Key: key}}})
}

// Table returns the rows of a table in the order of their keys.
func (s *Store) Table(table string) []hosting.StoredRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedRows(func(k hosting.RowKey) bool { return k.Table == table })
}

func (s *Store) sortedRows(match func(hosting.RowKey) bool) []hosting.StoredRow {
	var list []hosting.StoredRow
	for k, r := range s.rows {
		if match(k) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b hosting.StoredRow) int { return strings.Compare(a.Key, b.Key) })
	return list
}

func injectedError(call Call, kind hosting.ErrorKind) error {
	return &hosting.Error{Kind: kind, Op: "stand-in " + string(call), Err: errors.New("injected")}
}

// injectFault applies the injected injectFault of a read. The caller holds the lock, which is released while the call is silent.
func (s *Store) injectFault(ctx context.Context, call Call, txn *hosting.RowTxn) (Fault, error) {
	if s.inject == nil {
		return NoFault, nil
	}
	f := s.inject(call, txn)
	switch {
	case f == Refuse:
		return f, injectedError(call, hosting.KindUnavailable)
	case f == Hang:
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		kind := hosting.KindUnknown
		if txn == nil {
			kind = hosting.KindUnavailable // a read has no effect
		}
		return f, &hosting.Error{Kind: kind, Op: "stand-in " + string(call), Err: ctx.Err()}
	case f != NoFault && txn == nil:
		return f, injectedError(call, hosting.KindUnavailable)
	}
	return f, nil
}

// Commit implements hosting.Rows.
func (s *Store) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := s.injectFault(ctx, Commit, &txn)
	if err != nil {
		return hosting.RowTxnResult{}, err
	}
	if !singlePartition(txn) {
		return hosting.RowTxnResult{}, injectedError(Commit, hosting.KindInvalid)
	}
	switch f {
	case DropCall:
		return hosting.RowTxnResult{}, injectedError(Commit, hosting.KindUnknown)
	case Defer:
		s.deferred = append(s.deferred, txn)
		return hosting.RowTxnResult{}, injectedError(Commit, hosting.KindUnknown)
	case DropResponse:
		s.apply(txn)
		return hosting.RowTxnResult{}, injectedError(Commit, hosting.KindUnknown)
	}
	return s.apply(txn), nil
}

// singlePartition reports whether all rows of a transaction are in one partition, as the platform demands.
func singlePartition(txn hosting.RowTxn) bool {
	parts := map[string]bool{}
	for _, c := range txn.Conditions {
		parts[c.Part] = true
	}
	for _, p := range txn.Puts {
		parts[p.Part] = true
	}
	for _, d := range txn.Deletes {
		parts[d.Part] = true
	}
	return len(parts) <= 1
}

func (s *Store) apply(txn hosting.RowTxn) hosting.RowTxnResult {
	failed := false
	var current []hosting.StoredRow
	for _, c := range txn.Conditions {
		row, ok := s.rows[c.RowKey]
		if ok {
			current = append(current, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		return hosting.RowTxnResult{Version: s.version, Current: current, Clock: time.Since(s.started)}
	}
	s.version++
	for _, p := range txn.Puts {
		p.Version = s.version
		s.rows[p.RowKey] = p
		s.history = append(s.history, hosting.RowChange{StoredRow: p})
	}
	for _, d := range txn.Deletes {
		delete(s.rows, d)
		s.history = append(s.history, hosting.RowChange{StoredRow: hosting.StoredRow{RowKey: d, Version: s.version}, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return hosting.RowTxnResult{Committed: true, Version: s.version, Clock: time.Since(s.started)}
}

// maxPageRows is the size of a page of Range.
const maxPageRows = 500

// Range implements hosting.Rows.
func (s *Store) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.injectFault(ctx, Range, nil); err != nil {
		return hosting.RowPage{}, err
	}
	rows := s.sortedRows(func(k hosting.RowKey) bool {
		return k.Table == r.Table && k.Part == r.Part && k.Key >= r.From && (r.To == "" || k.Key < r.To)
	})
	limit := maxPageRows
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	page := hosting.RowPage{Rows: rows, Version: s.version, Clock: time.Since(s.started)}
	if len(rows) > limit {
		page.Rows, page.Truncated = rows[:limit], true
	}
	return page, nil
}

// Parts implements hosting.Rows.
func (s *Store) Parts(ctx context.Context, table string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.injectFault(ctx, Parts, nil); err != nil {
		return nil, err
	}
	var parts []string
	for k := range s.rows {
		if k.Table == table && !slices.Contains(parts, k.Part) {
			parts = append(parts, k.Part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Changes implements hosting.Rows.
func (s *Store) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if _, err := s.injectFault(ctx, Changes, nil); err != nil {
			s.mu.Unlock()
			return hosting.RowChanges{}, err
		}
		if after < s.compactedVersion {
			s.mu.Unlock()
			return hosting.RowChanges{}, injectedError(Changes, hosting.KindExpired)
		}
		result := hosting.RowChanges{Version: s.version, Clock: time.Since(s.started)}
		for _, c := range s.history {
			if c.Table == table && c.Version > after {
				result.Changes = append(result.Changes, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(result.Changes) > 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return result, nil
		case <-ctx.Done():
			return hosting.RowChanges{}, injectedError(Changes, hosting.KindUnavailable)
		}
	}
}
