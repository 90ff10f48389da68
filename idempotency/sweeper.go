package idempotency

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// Retention is how long a claim row is kept after its request. Callers usually retry within minutes; a day also covers
	// callers that were down themselves.
	Retention = 24 * time.Hour
	// sweepBatchSize is the number of rows read in one step. A transaction may name 128 rows, and each deleted row needs
	// two of them, a condition and a deletion.
	sweepBatchSize = 60
	// sweepInterval is the time between two steps. With sweepBatchSize, it allows 120 rows per second, enough for 100
	// claims per second.
	sweepInterval = 500 * time.Millisecond
)

// Sweeper deletes expired claim rows in steps of limited size. Several sweepers may run at the same time: each deletion
// is conditional on the revision that was read, so a row that has changed is not deleted.
type Sweeper struct {
	table hosting.Table
	now   func() time.Time
	// after is the key of the last row read. It is reset to empty at the end of the table, so that the sweep starts over.
	after string
}

// NewSweeper returns a Sweeper that starts at the first row.
func NewSweeper(table hosting.Table, now func() time.Time) *Sweeper {
	return &Sweeper{table: table, now: now}
}

// Run performs a step per interval until ctx is done, if responsible reports that this process is to do the sweeping.
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
			// A failed step is retried at the next tick.
			_, _ = s.Step(ctx)
		}
	}
}

// Step reads the next rows and deletes the expired ones. It returns the number of deleted rows.
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
			return 0, eris.Wrap(err, "delete expired claim rows")
		}
	}
	s.after = rows[len(rows)-1].Key
	return len(txn.Deletes), nil
}

// expired reports whether a row is older than Retention. Rows that cannot be decoded or have no time never expire.
func (s *Sweeper) expired(row hosting.Row) bool {
	var r Row
	if json.Unmarshal(row.Value, &r) != nil || r.ClaimedAt.IsZero() {
		return false
	}
	return s.now().Sub(r.ClaimedAt) > Retention
}
