package idempotency

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// Retention is how long a claim row is kept after its request. Callers resend within minutes; a day covers those that
	// were down themselves.
	Retention = 24 * time.Hour
	// sweepBatchSize is the number of rows read in one step. Each deleted row takes a condition and a deletion out of the 128
	// rows that a transaction may name.
	sweepBatchSize = 60
	// sweepInterval is the time between two steps. 120 rows a second keep up with 100 claims a second.
	sweepInterval = 500 * time.Millisecond
)

// Sweeper deletes old claim rows in bounded steps. Any number of sweepers may run: each deletion names the revision
// that it read, so a row that changed stays.
type Sweeper struct {
	table hosting.Table
	now   func() time.Time
	// after is the last row of the previous step; the sweep starts again behind the last row.
	after string
}

// NewSweeper returns a sweeper that starts at the first row.
func NewSweeper(table hosting.Table, now func() time.Time) *Sweeper {
	return &Sweeper{table: table, now: now}
}

// Run sweeps while mine reports that this process is the one to do it, until ctx ends.
func (s *Sweeper) Run(ctx context.Context, responsible func() bool) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if responsible() {
			// A failed step is repeated with the next tick.
			_, _ = s.Step(ctx)
		}
	}
}

// Step looks at the next rows and deletes the old ones. It returns how many it deleted.
func (s *Sweeper) Step(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := s.table.Scan(ctx, rowPrefix, s.after, sweepBatchSize)
	if err != nil {
		return 0, eris.Wrap(err, "read claim rows")
	}
	if len(rows) == 0 {
		s.after = ""
		return 0, nil
	}
	var txn hosting.Txn
	for _, row := range rows {
		if s.expired(row) {
			txn.Conditions = append(txn.Conditions, hosting.Condition{Key: row.Key, Revision: row.Revision})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) > 0 {
		if _, err := s.table.Commit(ctx, txn); err != nil {
			return 0, eris.Wrap(err, "delete old claim rows")
		}
	}
	s.after = rows[len(rows)-1].Key
	return len(txn.Deletes), nil
}

// expired reports whether a row has outlived its retention. A row that cannot be read or has no time is kept.
func (s *Sweeper) expired(row hosting.Row) bool {
	var r Row
	if json.Unmarshal(row.Value, &r) != nil || r.ClaimedAt.IsZero() {
		return false
	}
	return s.now().Sub(r.ClaimedAt) > Retention
}
