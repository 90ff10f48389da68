package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// saveInterval is how often texts in progress are saved, so that a successor does not start them again.
	saveInterval = 700 * time.Millisecond
	// minSaved is the number of new events from which a text is worth saving.
	minSaved = 8
	// maxSaved bounds the texts of one transaction; it takes 100 rows.
	maxSaved = 90
)

// saveLoop saves texts in progress until the ownership ends.
func (o *ownedJob) saveLoop() {
	for {
		sleep(o.ctx, saveInterval)
		if o.ctx.Err() != nil {
			return
		}
		o.save(o.g.workCtx, minSaved)
	}
}

// save stores the texts that grew by at least minEvents since they were saved.
func (o *ownedJob) save(ctx context.Context, minEvents int) {
	rows, saved := o.unsaved(minEvents)
	if len(rows) == 0 {
		return
	}
	if _, err := o.g.opts.Rows.Commit(ctx, hosting.RowTxn{Puts: rows}); err != nil {
		o.g.opts.Log.Warn().Str("job", o.entry.id).Int("texts", len(rows)).Err(err).Msg("texts in progress not saved")
		return
	}
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	for id, events := range saved {
		o.saved[id] = events
	}
}

func (o *ownedJob) unsaved(minEvents int) ([]hosting.StoredRow, map[string]int) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	var rows []hosting.StoredRow
	saved := map[string]int{}
	size := 0
	for _, p := range o.job.Items() {
		text := o.job.TextOf(p)
		if p.Phase == batch.Listed || !text.Whole && text.Last() < o.saved[p.Item.ID]+minEvents {
			continue
		}
		if p.Phase == batch.Finished && minEvents > 1 {
			continue // about to be listed
		}
		value, err := json.Marshal(text)
		if err != nil || len(value) > o.g.opts.MaxRowBytes-chunkReserve {
			continue // a text that does not fit into a row starts again at a successor
		}
		if size += len(value); size > maxTxnBytes || len(rows) >= maxSaved {
			break
		}
		rows = append(rows, hosting.StoredRow{RowKey: progressKey(o.entry.id, p.Item.ID), Value: value})
		saved[p.Item.ID] = text.Last()
	}
	return rows, saved
}

// leave stores what the ended job has of its incomplete groups, which may come again in a later job: a short row for all of
// them, and the texts.
func (o *ownedJob) leave() {
	o.g.mu.Lock()
	left := o.job.Left()
	o.g.mu.Unlock()
	if len(left) == 0 {
		return
	}
	value, err := json.Marshal(left)
	if err != nil || len(value) > o.g.opts.MaxRowBytes-chunkReserve {
		o.g.opts.Log.Warn().Str("job", o.entry.id).Int("items", len(left)).Int("bytes", len(value)).AnErr("error", err).
			Msg("what the job left is not saved; its groups start anew")
		return
	}
	txn := hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: leftKey(o.entry.id), Value: value}}}
	if _, err := o.g.opts.Rows.Commit(o.g.workCtx, txn); err != nil {
		o.g.opts.Log.Warn().Str("job", o.entry.id).Int("items", len(left)).Err(err).Msg("what the job left is not saved")
	}
	o.save(o.g.workCtx, 1)
}
