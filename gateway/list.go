package gateway

import (
	"encoding/json"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

// Pace of the lister.
const (
	// listDelay collects results that finish close together into one transaction.
	listDelay = 40 * time.Millisecond
	// listRetry follows a failed transaction.
	listRetry = 100 * time.Millisecond
	// maxListed bounds the results of one transaction; it takes 100 rows, and a result may replace a saved text.
	maxListed = 45
)

// listLoop writes finished results into the store until the job ends or every item is listed.
func (o *ownedJob) listLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.ready:
		}
		sleep(o.ctx, listDelay)
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

// listOnce lists a batch of results and reports whether there may be more.
func (o *ownedJob) listOnce() bool {
	o.listing.Lock()
	defer o.listing.Unlock()
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
	return o.commitResults(results[:n], rows, position)
}

// resultRows encodes results from a position on, as many as fit into a transaction.
func (o *ownedJob) resultRows(results []batch.Result, position int) (int, []hosting.StoredRow) {
	var rows []hosting.StoredRow
	size := 0
	for i, r := range results {
		value, err := json.Marshal(r)
		if err != nil {
			o.g.opts.Log.Error().Str("job", o.entry.id).Str("item", r.ID).Err(err).Msg("result not encoded")
			return i, rows
		}
		size += len(value)
		if i > 0 && (size > maxTxnBytes || i >= maxListed) {
			return i, rows
		}
		rows = append(rows, splitValue(positionKey(o.entry.id, position+i), value, o.g.opts.MaxRowBytes-chunkReserve)...)
	}
	return len(results), rows
}

// splitValue stores a value that may be larger than a row: the first part under the key, the others under keys that
// follow it.
func splitValue(key hosting.RowKey, value []byte, size int) []hosting.StoredRow {
	var rows []hosting.StoredRow
	for part := 0; part == 0 || len(value) > 0; part++ {
		n := min(size, len(value))
		row := hosting.StoredRow{RowKey: key, Value: value[:n]}
		if part > 0 {
			row.Key += continuation(part)
		}
		rows = append(rows, row)
		value = value[n:]
	}
	return rows
}

// continuation is the suffix of the key of a further part of a value; it sorts before the next position.
func continuation(part int) string { return "+" + string(rune('a'+part-1)) }

// commitResults writes the rows of the results from a position on under the condition that the record is unchanged. A
// transaction without an answer is repeated as it was. Only the owner lists results, so the number of listed ones in the
// record tells whether an earlier try took effect, also when the watch brings the record first. It reports whether the
// results were listed.
func (o *ownedJob) commitResults(results []batch.Result, rows []hosting.StoredRow, position int) bool {
	for o.ctx.Err() == nil {
		o.g.mu.Lock()
		record, version := o.entry.record, o.entry.version
		done, stale := o.job.DoneWith(len(results)), o.savedOf(results)
		enough := o.job.EnoughWith(len(results))
		o.g.mu.Unlock()
		if record.Listed != position {
			return o.noteEarlierTry(results, position)
		}
		record.Listed += len(results)
		record.Done, record.Enough = done, enough
		value, err := json.Marshal(record)
		if err != nil {
			o.g.opts.Log.Error().Str("job", o.entry.id).Err(err).Msg("record not encoded")
			return false
		}
		key := jobKey(jobTable, o.entry.id)
		result, err := o.g.opts.Rows.Commit(o.ctx, hosting.RowTxn{
			Conditions: []hosting.StoredRow{{RowKey: key, Version: version}},
			Puts:       append([]hosting.StoredRow{{RowKey: key, Value: value}}, rows...),
			Deletes:    stale,
		})
		switch {
		case err == nil && result.Committed:
			o.noteListed(results, record, result.Version)
			return true
		case err == nil:
			o.conflict(result.Current)
		default:
			o.g.opts.Log.Warn().Str("job", o.entry.id).Err(err).Msg("results not listed yet")
			sleep(o.ctx, listRetry)
		}
	}
	return false
}

// savedOf returns the keys of the saved texts of items that are listed now. A successor need not read them. The caller
// holds the lock.
func (o *ownedJob) savedOf(results []batch.Result) []hosting.RowKey {
	var keys []hosting.RowKey
	for _, r := range results {
		if o.saved[r.ID] > 0 {
			keys = append(keys, progressKey(o.entry.id, r.ID))
		}
	}
	return keys
}

func (o *ownedJob) noteListed(results []batch.Result, record batch.Record, version int64) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	for i, r := range results {
		o.entry.cache[record.Listed-len(results)+i] = r
	}
	o.job.MarkListed(len(results))
	o.g.metrics.resultsListed.Add(len(results))
	o.g.takeRecord(o.entry.id, record, version)
}

// noteEarlierTry takes a record whose number of results has moved: an earlier try of this owner took effect.
func (o *ownedJob) noteEarlierTry(results []batch.Result, position int) bool {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if o.ctx.Err() != nil {
		return false
	}
	if o.entry.record.Listed != position+len(results) {
		o.g.opts.Log.Error().Str("job", o.entry.id).Int("listed", o.entry.record.Listed).Int("position", position).
			Int("results", len(results)).Msg("the record of an owned job moved by an unknown write; giving it up")
		o.end()
		return false
	}
	o.job.MarkListed(len(results))
	o.g.metrics.resultsListed.Add(len(results))
	return true
}

// conflict takes the record that stood in the way. It ends the ownership where the job was ended, taken over or deleted.
func (o *ownedJob) conflict(current []hosting.StoredRow) {
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	if len(current) == 0 || o.g.takeJobRow(current[0]) == nil {
		o.g.opts.Log.Error().Str("job", o.entry.id).Msg("the record of an owned job is gone or cannot be read")
		o.end()
	}
}
