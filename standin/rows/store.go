// Package rows implements hosting.Rows in memory for tests: a store with partitions, conditional transactions, watches,
// a history that can be compacted, and fault injection for each call.
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

// Call is the name of a store call, by which an Injector selects faults.
type Call string

// Calls of the store.
const (
	Commit  Call = "commit"
	Range   Call = "range"
	Parts   Call = "parts"
	Changes Call = "changes"
)

// Fault is the fault that is injected into one call. Apart from NoFault and Refuse, it makes a commit fail with
// KindUnknown and a read with KindUnavailable.
type Fault int

const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// Refuse fails the call with KindUnavailable and without effect.
	Refuse
	// DropResponse executes the call but drops its response.
	DropResponse
	// DropCall drops the call without executing it.
	DropCall
	// Defer drops the response and executes the transaction when ApplyDeferred is called, if its conditions still hold.
	Defer
	// Hang sends no response until the context of the call ends.
	Hang
)

// Injector returns the fault to inject into a call. txn is nil for reads.
type Injector func(call Call, txn *hosting.RowTxn) Fault

// Store is an in-memory row store that implements hosting.Rows. Its methods may be called concurrently.
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

// New returns an empty Store without faults.
func New() *Store {
	return &Store{
		rows: map[hosting.RowKey]hosting.StoredRow{}, started: time.Now(), changed: make(chan struct{}), version: 1,
	}
}

// SetFaults replaces the fault injector; nil injects no faults.
func (s *Store) SetFaults(inject Injector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = inject
}

// Compact discards the history of changes. Changes that start before this point fail with KindExpired, so that watches
// have to read their table again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion = s.version
	s.history = nil
}

// ApplyDeferred executes the transactions that the Defer fault has deferred.
func (s *Store) ApplyDeferred() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.deferred {
		s.apply(txn)
	}
	s.deferred = nil
}

// Put writes a row without conditions, as an operator or an upstream does.
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

// Table returns the rows of a table in key order.
func (s *Store) Table(table string) []hosting.StoredRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedRows(func(k hosting.RowKey) bool { return k.Table == table })
}

// sortedRows returns the rows whose keys match, in key order. The caller must hold s.mu.
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

// injectFault selects the fault of a call and returns the error of a fault that ends the call at once. The caller must
// hold s.mu, which is released while a call hangs.
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

// singlePartition reports whether all rows of txn are in one partition, as the platform requires.
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

// apply commits txn if its conditions hold, and wakes the watches. The caller must hold s.mu.
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

// maxPageRows is the maximum number of rows in a page of Range.
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

// Changes implements hosting.Rows. It waits up to wait for changes of table with a version above after.
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
