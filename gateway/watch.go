package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Timing of a watch.
const (
	// watchWait limits how long one call waits for changes. It is short so that a broken connection is noticed.
	watchWait = 2 * time.Second
	// watchInterval is the delay between two calls, so that changes arrive in batches and cause fewer wake-ups.
	watchInterval = 60 * time.Millisecond
	// minWatchRetry is the wait after the first failed call; it doubles up to maxWatchRetry.
	minWatchRetry = 100 * time.Millisecond
	maxWatchRetry = 400 * time.Millisecond
)

// tableWatch follows one table: it reads the whole content first and then the changes.
type tableWatch struct {
	table string
	// wait is how long one call waits for changes.
	wait time.Duration
	// partitioned tables are read partition by partition.
	partitioned bool
	rows        hosting.Rows
	// reset receives the whole table, and apply one change. onResponse and onFailure are called after
	// successful and failed store calls.
	reset func(rows []hosting.StoredRow)
	// readVersion is the version as of which reset receives the table.
	readVersion int64
	apply       func(c hosting.RowChange)
	onResponse  func(clock time.Duration)
	onFailure   func(err error)
	// recoverPanic keeps a row that makes apply panic from ending the watch.
	recoverPanic func(operation string, f func()) bool
}

// run follows the table until ctx ends.
func (w *tableWatch) run(ctx context.Context) {
	var version int64
	known := false
	retry := minWatchRetry
	for ctx.Err() == nil {
		var err error
		if !known {
			version, err = w.readAll(ctx)
			known = err == nil
		} else {
			version, err = w.readChanges(ctx, version)
			if hosting.IsKind(err, hosting.KindExpired) {
				known = false
			}
		}
		if err == nil {
			retry = minWatchRetry
			sleep(ctx, watchInterval)
			continue
		}
		if ctx.Err() == nil {
			w.onFailure(err)
			sleep(ctx, retry)
			retry = min(2*retry, maxWatchRetry)
		}
	}
}

// readAll reads every partition and returns the lowest version of these reads; changes after it are applied again.
func (w *tableWatch) readAll(ctx context.Context) (int64, error) {
	parts := []string{""}
	if w.partitioned {
		var err error
		if parts, err = w.rows.Parts(ctx, w.table); err != nil {
			return 0, err
		}
		if len(parts) == 0 {
			parts = []string{""} // this read returns the version from which changes are read
		}
	}
	var all []hosting.StoredRow
	version := int64(-1)
	for _, part := range parts {
		rows, read, err := readRange(ctx, w.rows, hosting.RowRange{Table: w.table, Part: part}, w.onResponse)
		if err != nil {
			return 0, err
		}
		all = append(all, rows...)
		if version < 0 || read < version {
			version = read
		}
	}
	w.readVersion = version
	w.reset(all)
	return version, nil
}

// readRange reads a range page by page. The version is that of the first page.
func readRange(
	ctx context.Context, rows hosting.Rows, r hosting.RowRange, onResponse func(time.Duration),
) ([]hosting.StoredRow, int64, error) {
	var all []hosting.StoredRow
	version := int64(-1)
	for {
		page, err := rows.Range(ctx, r)
		if err != nil {
			return nil, 0, err
		}
		onResponse(page.Clock)
		all = append(all, page.Rows...)
		if version < 0 {
			version = page.Version
		}
		if !page.Truncated || len(page.Rows) == 0 {
			return all, version, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

func (w *tableWatch) readChanges(ctx context.Context, after int64) (int64, error) {
	changes, err := w.rows.Changes(ctx, w.table, after, w.wait)
	if err != nil {
		return after, err
	}
	w.onResponse(changes.Clock)
	for _, c := range changes.Changes {
		w.recoverPanic("row of "+w.table, func() { w.apply(c) })
	}
	return max(changes.Version, after), nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
