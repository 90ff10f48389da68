package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

// Limits of the lister, which appends finished results to the result list of a job.
const (
	// listBatchDelay lets results that finish close together share one transaction.
	listBatchDelay = 40 * time.Millisecond
	// listRetryDelay is the delay after a failed transaction.
	listRetryDelay = 100 * time.Millisecond
	// maxListBatch limits the results of one transaction: the store takes 100 rows, and a result may replace a saved
	// text.
	maxListBatch = 45
)

// listLoop lists finished results until the job ends or every item is listed. Listing writes a result to the store
// and counts it in the job's record.
func (o *ownedJob) listLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.listSignal:
		}
		sleep(o.ctx, listBatchDelay)
		for o.listOnce() {
		}
		o.g.mu.Lock()
		complete := o.job.Complete()
		if complete && o.ctx.Err() == nil {
			o.g.opts.Log.Info().Str("job", o.entry.id).Int("total", o.entry.record.Total).Msg("job complete")
			o.finish()
		}
		o.g.mu.Unlock()
		if complete {
			return
		}
	}
}

// listOnce lists one batch of results and reports whether there may be more.
func (o *ownedJob) listOnce() bool {
	o.listing.Lock()
	defer o.listing.Unlock()
	ctx := o.g.keptIn(o.ctx, o.entry)
	o.g.mu.Lock()
	results := o.job.Unlisted()
	o.g.mu.Unlock()
	if len(results) == 0 || o.ctx.Err() != nil {
		return false
	}
	o.g.mu.Lock()
	position := o.entry.record.Listed
	o.g.mu.Unlock()
	n, rows := o.resultRows(results, position)
	if n == 0 {
		return false
	}
	return o.commitResults(ctx, results[:n], rows, position)
}

// resultRows encodes as many results, from a position on, as fit into one transaction.
func (o *ownedJob) resultRows(results []batch.Result, position int) (int, []hosting.StoredRow) {
	var rows []hosting.StoredRow
	size := 0
	for i, r := range results {
		value, err := json.Marshal(r)
		if err != nil {
			o.g.opts.Log.Error().Str("job", o.entry.id).Str("item", r.ID).Err(err).Msg("cannot encode result")
			return i, rows
		}
		size += len(value)
		if i > 0 && (size > maxTxnBytes || i >= maxListBatch) {
			return i, rows
		}
		rows = append(rows, splitValue(resultKey(o.entry.id, position+i), value, o.g.opts.MaxRowBytes-rowOverhead)...)
	}
	return len(results), rows
}

// splitValue splits a value that may be larger than a row: the first part is stored under the key, the others under
// keys that follow it.
func splitValue(key hosting.RowKey, value []byte, size int) []hosting.StoredRow {
	var rows []hosting.StoredRow
	for part := 0; part == 0 || len(value) > 0; part++ {
		n := min(size, len(value))
		row := hosting.StoredRow{RowKey: key, Value: value[:n]}
		if part > 0 {
			row.Key += continuationSuffix(part)
		}
		rows = append(rows, row)
		value = value[n:]
	}
	return rows
}

// continuationSuffix returns the key suffix of a further part of a value; it sorts before the next position.
func continuationSuffix(part int) string { return "+" + string(rune('a'+part-1)) }

// commitResults writes the rows of the results from a position on, on the condition that the record is unchanged. A
// transaction without a response is repeated unchanged. Only the owner lists results, so the number of listed results
// in the record tells whether an earlier attempt took effect, even if the watch delivers the record first. It reports
// whether the results were listed.
func (o *ownedJob) commitResults(ctx context.Context, results []batch.Result, rows []hosting.StoredRow, position int) bool {
	for o.ctx.Err() == nil {
		o.g.mu.Lock()
		record, version := o.entry.record, o.entry.version
		done, obsolete := o.job.DoneAfterListing(len(results)), o.savedTextKeys(results)
		enough := o.job.EnoughAfterListing(len(results))
		o.g.mu.Unlock()
		if record.Listed != position {
			return o.resolveEarlierCommit(results, position)
		}
		record.Listed += len(results)
		record.Done, record.EnoughGroups = done, enough
		value, err := json.Marshal(record)
		if err != nil {
			o.g.opts.Log.Error().Str("job", o.entry.id).Err(err).Msg("cannot encode job record")
			return false
		}
		key := jobKey(jobTable, o.entry.id)
		result, err := o.g.opts.Rows.Commit(ctx, hosting.RowTxn{
			Conditions: []hosting.StoredRow{{RowKey: key, Version: version}},
			Puts:       append([]hosting.StoredRow{{RowKey: key, Value: value}}, rows...),
			Deletes:    obsolete,
		})
		switch {
		case err == nil && result.Committed:
			o.applyListed(results, record, result.Version)
			return true
		case err == nil:
			o.resolveConflict(result.Current)
		default:
			o.g.opts.Log.Warn().Str("job", o.entry.id).Err(err).Msg("cannot list results; will retry")
			sleep(o.ctx, listRetryDelay)
		}
	}
	return false
}

// savedTextKeys returns the keys of the saved texts of the results' items, which a successor no longer needs. The
// caller holds g.mu.
func (o *ownedJob) savedTextKeys(results []batch.Result) []hosting.RowKey {
	var keys []hosting.RowKey
	for _, r := range results {
		if o.savedEvents[r.ID] > 0 {
			keys = append(keys, progressKey(o.entry.id, r.ID))
		}
	}
	return keys
}

// applyListed applies a commit that listed the results.
func (o *ownedJob) applyListed(results []batch.Result, record batch.Record, version int64) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	for i, r := range results {
		o.entry.resultCache[record.Listed-len(results)+i] = r
	}
	o.job.MarkListed(len(results))
	o.g.metrics.resultsListed.Add(len(results))
	o.g.applyRecord(o.entry.id, record, version)
}

// resolveEarlierCommit handles a record whose number of listed results has changed: an earlier attempt of this owner
// took effect. If the number does not match that attempt, it releases the job. It reports whether the results were
// listed.
func (o *ownedJob) resolveEarlierCommit(results []batch.Result, position int) bool {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if o.ctx.Err() != nil {
		return false
	}
	if o.entry.record.Listed != position+len(results) {
		o.g.opts.Log.Error().Str("job", o.entry.id).Int("listed", o.entry.record.Listed).Int("position", position).
			Int("results", len(results)).Msg("record of an owned job was changed by an unknown write; releasing the job")
		o.release()
		return false
	}
	o.job.MarkListed(len(results))
	o.g.metrics.resultsListed.Add(len(results))
	return true
}

// resolveConflict applies the record that violated the condition. If the job was ended, taken over or deleted, this
// ends the ownership.
func (o *ownedJob) resolveConflict(current []hosting.StoredRow) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if len(current) == 0 || o.g.applyJobRow(current[0]) == nil {
		o.g.opts.Log.Error().Str("job", o.entry.id).Msg("record of an owned job is missing or cannot be decoded; releasing the job")
		o.release()
	}
}
