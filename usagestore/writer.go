package usagestore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/usage"
)

// Writer stores batches in the table. It is safe for concurrent use.
type Writer struct {
	table  hosting.Table
	window func() usage.Window
	now    func() time.Time
}

// NewWriter returns a Writer. It calls window for each batch, since operators may change the length of the windows; a
// batch that is written twice under two lengths is still counted once.
func NewWriter(table hosting.Table, window func() usage.Window, now func() time.Time) *Writer {
	return &Writer{table: table, window: window, now: now}
}

// Write stores the batch in its own window or, if that is closed, in the first later window that is not. After an error
// the caller writes the same batch again; its ID does not change, so the row of an earlier attempt is found.
func (w *Writer) Write(ctx context.Context, b usage.Batch) error {
	window := w.window()
	for start := b.WindowStart(window, w.now()); ; start = window.End(start) {
		done, err := w.writeToWindow(ctx, usage.WindowKey(start), b)
		if done || err != nil {
			return err
		}
		b.Late = true
	}
}

// writeToWindow reports whether the window holds the batch. It returns false without an error if the window is closed
// and does not hold it.
func (w *Writer) writeToWindow(ctx context.Context, window string, b usage.Batch) (bool, error) {
	value, err := json.Marshal(b)
	if err != nil {
		return false, fmt.Errorf("encode usage batch %s of agent %s: %w", b.ID(), b.Agent, err)
	}
	key := batchKey(window, b)
	result, err := w.table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: closingKey(window)}, {Key: key}},
		Puts:       []hosting.Put{{Key: key, Value: value}},
	})
	if hosting.IsKind(err, hosting.KindUnknown) {
		return w.resolveLostReply(ctx, key, err)
	}
	if err != nil {
		return false, eris.Wrapf(err, "write usage batch %s", key)
	}
	return result.Committed || containsKey(result.Current, key), nil
}

// resolveLostReply reads the batch row after a lost reply. If the row is absent or cannot be read, the transaction may
// still be in transit, so that the error of the commit is returned and the next attempt resolves it.
func (w *Writer) resolveLostReply(ctx context.Context, key string, cause error) (bool, error) {
	_, err := w.table.Get(ctx, key)
	if err == nil {
		return true, nil
	}
	return false, eris.Wrapf(cause,
		"write usage batch %s: the reply was lost, and the row is absent or cannot be read", key)
}

func containsKey(rows []hosting.Row, key string) bool {
	for _, row := range rows {
		if row.Key == key {
			return true
		}
	}
	return false
}
