package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// saveInterval is the time between two saves of texts in progress, which a successor resumes.
	saveInterval = 700 * time.Millisecond
	// minUnsavedEvents is the number of new events from which a text is saved again.
	minUnsavedEvents = 8
	// maxSaveBatch limits the texts of one transaction; the store takes 100 rows.
	maxSaveBatch = 90
)

// saveLoop saves texts in progress until the ownership ends.
func (o *ownedJob) saveLoop() {
	for {
		sleep(o.ctx, saveInterval)
		if o.ctx.Err() != nil {
			return
		}
		o.saveTexts(o.g.workCtx, minUnsavedEvents)
	}
}

// saveTexts stores the texts that grew by at least minEvents since they were saved.
func (o *ownedJob) saveTexts(ctx context.Context, minEvents int) {
	rows, saved := o.unsavedTexts(minEvents)
	if len(rows) == 0 {
		return
	}
	if _, err := o.g.opts.Rows.Commit(o.g.keptIn(ctx, o.entry), hosting.RowTxn{Puts: rows}); err != nil {
		o.g.opts.Log.Warn().Str("job", o.entry.id).Int("texts", len(rows)).Err(err).Msg("cannot save texts in progress")
		return
	}
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	for id, events := range saved {
		o.savedEvents[id] = events
	}
}

// unsavedTexts returns the rows of the texts to save, and the number of events of each by item ID.
func (o *ownedJob) unsavedTexts(minEvents int) ([]hosting.StoredRow, map[string]int) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	var rows []hosting.StoredRow
	saved := map[string]int{}
	size := 0
	for _, p := range o.job.Items() {
		text := o.job.TextOf(p)
		if p.Phase == batch.Listed || !text.Complete && text.LastEventID() < o.savedEvents[p.Item.ID]+minEvents {
			continue
		}
		if p.Phase == batch.Finished && minEvents > 1 {
			continue // about to be listed
		}
		value, err := json.Marshal(text)
		if err != nil || len(value) > o.g.opts.MaxRowBytes-rowOverhead {
			continue // a text that does not fit into a row restarts at a successor
		}
		if size += len(value); size > maxTxnBytes || len(rows) >= maxSaveBatch {
			break
		}
		rows = append(rows, hosting.StoredRow{RowKey: progressKey(o.entry.id, p.Item.ID), Value: value})
		saved[p.Item.ID] = text.LastEventID()
	}
	return rows, saved
}

// saveCarryover stores the carryover of the ended job, whose incomplete groups may come again in a later job: one
// short row for all groups, and the texts.
func (o *ownedJob) saveCarryover() {
	o.g.mu.Lock()
	summaries := o.job.Carryover()
	o.g.mu.Unlock()
	if len(summaries) == 0 {
		return
	}
	value, err := json.Marshal(summaries)
	if err != nil || len(value) > o.g.opts.MaxRowBytes-rowOverhead {
		o.g.opts.Log.Warn().Str("job", o.entry.id).Int("items", len(summaries)).Int("bytes", len(value)).AnErr("error", err).
			Msg("carryover of the job cannot be stored in a row; its groups restart from the beginning")
		return
	}
	txn := hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: carryoverKey(o.entry.id), Value: value}}}
	if _, err := o.g.opts.Rows.Commit(o.g.keptIn(o.g.workCtx, o.entry), txn); err != nil {
		o.g.opts.Log.Warn().Str("job", o.entry.id).Int("items", len(summaries)).Err(err).Msg("cannot save the carryover of the job")
	}
	o.saveTexts(o.g.workCtx, 1)
}
