package usagestore

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	// reportedPageSize bounds the rows of one read of reported workspaces.
	reportedPageSize = 500
	// deletesPerTxn is the number of batch rows deleted per transaction, below the table's limit of 128 rows.
	deletesPerTxn = 100
	// maxDeleteTxns bounds the transactions per window and step, so that the cleanup stays within the write budget.
	maxDeleteTxns = 10
)

// reportedRow is the content of a reported row.
type reportedRow struct {
	Term int64 `json:"term"`
}

// ReportWindow sends the sealed report of each workspace that is not marked as reported. If the mark of a report was
// not written, the report is sent again with the same ID and bytes, which has no further effect on the sink. A report
// that the sink refuses with a conflict does not stop the others; the conflict is returned at the end.
func (r *Reporter) ReportWindow(ctx context.Context, sealed usage.SealedWindow) error {
	done, err := r.reportedKeys(ctx, sealed.Window)
	if err != nil {
		return err
	}
	var conflict error
	for _, report := range sealed.Reports {
		if done[reportedKey(sealed.Window, report.Workspace)] {
			continue
		}
		err := r.sendReport(ctx, sealed.Window, report)
		if hosting.IsKind(err, hosting.KindConflict) {
			conflict = err
			continue
		}
		if err != nil {
			return err
		}
	}
	return conflict
}

// reportedKeys returns the keys of the reported rows of a window.
func (r *Reporter) reportedKeys(ctx context.Context, window string) (map[string]bool, error) {
	done := map[string]bool{}
	after := ""
	for {
		rows, err := r.opts.Table.Scan(ctx, reportedPrefix+window+"/", after, reportedPageSize)
		if err != nil {
			return nil, eris.Wrapf(err, "read usage reports of window %s", window)
		}
		if len(rows) == 0 {
			return done, nil
		}
		for _, row := range rows {
			done[row.Key] = true
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Reporter) sendReport(ctx context.Context, window string, report usage.SealedReport) error {
	term, ok := r.opts.Authority.MayAct(r.opts.Now())
	if !ok {
		return ErrNotHolder
	}
	err := r.opts.Sink.Report(ctx, hosting.UsageReport{
		ID: window + "/" + report.Workspace, Workspace: report.Workspace, Window: window, Body: report.Body, Term: term,
	})
	if hosting.IsKind(err, hosting.KindConflict) {
		r.metrics.conflicts.Inc()
		r.opts.Log.Error().Err(err).Str("window", window).Str("workspace", report.Workspace).
			Msg("usage report rejected: the sink holds a different report with the same ID")
	}
	if err != nil {
		return eris.Wrapf(err, "report usage of workspace %q in window %s", report.Workspace, window)
	}
	r.metrics.reported.Inc()
	if start, err := usage.ParseWindowKey(window); err == nil {
		r.metrics.delay.Update(r.opts.Now().Sub(r.opts.Window().End(start)).Seconds())
	}
	return r.markReported(ctx, window, report.Workspace, term)
}

func (r *Reporter) markReported(ctx context.Context, window, workspace string, term int64) error {
	value, err := json.Marshal(reportedRow{Term: term})
	if err != nil {
		return eris.Wrap(err, "encode reported row")
	}
	key := reportedKey(window, workspace)
	_, err = r.putIfAbsent(ctx, key, hosting.Txn{Puts: []hosting.Put{{Key: key, Value: value}}})
	return err
}

// deleteBatches deletes batch rows of a reported window, up to a bounded number per call. The closing row stays, so
// that a batch that arrives after the deletion still goes to a later window.
func (r *Reporter) deleteBatches(ctx context.Context, window string) error {
	for range maxDeleteTxns {
		rows, err := r.opts.Table.Scan(ctx, batchPrefix+window+"/", "", deletesPerTxn)
		if err != nil {
			return eris.Wrap(err, "read usage batches")
		}
		if len(rows) == 0 {
			return nil
		}
		guard, ok := r.opts.Authority.Guard()
		if !ok {
			return ErrNotHolder
		}
		txn := hosting.Txn{Conditions: []hosting.Condition{guard}}
		for _, row := range rows {
			txn.Deletes = append(txn.Deletes, row.Key)
		}
		if _, err := r.opts.Table.Commit(ctx, txn); err != nil {
			return eris.Wrapf(err, "delete usage batches of window %s", window)
		}
	}
	return nil
}
