package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/serving"
)

const (
	// maxViewAge is the maximum age of this process's job view for a response that there is nothing new.
	maxViewAge = 700 * time.Millisecond
	// maxPageBytes limits the output on one page of results.
	maxPageBytes = 900 << 10
	// readTimeout limits a store read on behalf of a reader.
	readTimeout = 1300 * time.Millisecond
)

// Results returns the results of a job from a position on. If there are none yet, it waits for some, at most r.Wait.
func (g *Gateway) Results(ctx context.Context, r call.BatchRequest) (call.ResultPage, error) {
	e, err := g.findJob(ctx, r)
	if err != nil {
		return call.ResultPage{}, err
	}
	record := g.waitForResults(ctx, e, r.After, r.Wait)
	if record.Listed <= r.After {
		if record, err = g.currentRecord(ctx, e); err != nil {
			return call.ResultPage{}, err
		}
	}
	page := call.ResultPage{Total: record.Total, Next: r.After}
	if record.Listed <= r.After {
		return page, nil
	}
	return g.fillPage(ctx, e, page, record.Listed)
}

// findJob returns a job of the caller's workspace. A job that this process does not know is looked up in the store;
// only the store can tell that it does not exist.
func (g *Gateway) findJob(ctx context.Context, r call.BatchRequest) (*jobEntry, error) {
	config, workspace, err := g.authorizeBatch(r.Key)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	e, ok := g.jobs[r.ID]
	g.mu.Unlock()
	if !ok {
		if e, err = g.readJob(ctx, r.ID); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.record.Workspace != "" && e.record.Workspace != workspace {
		return nil, noSuchJob()
	}
	if !config.HasHost(r.Host) && serving.NormalizeHost(r.Host) != serving.NormalizeHost(e.record.Host) {
		return nil, newRefusal(outcome.KindNotFound, http.StatusNotFound, "no route matches this host", "check the host")
	}
	return e, nil
}

func noSuchJob() error {
	return newRefusal(outcome.KindNotFound, http.StatusNotFound, "no batch job of this workspace has this ID", "check the ID")
}

// readJob reads the record of a job from the store.
func (g *Gateway) readJob(ctx context.Context, id string) (*jobEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := g.opts.Rows.Range(ctx, hosting.RowRange{
		Table: jobTable, Part: jobPartition(id), From: id, To: id + "\x00", Limit: 1,
	})
	if err != nil {
		return nil, g.storeUnavailable(id, err)
	}
	if len(page.Rows) == 0 {
		return nil, noSuchJob()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.applyJobRow(page.Rows[0])
	if e == nil {
		return nil, g.storeUnavailable(id, fmt.Errorf("record of job %s cannot be decoded", id))
	}
	return e, nil
}

// storeUnavailable returns the refusal of a request that cannot be answered without the store, and logs the cause.
func (g *Gateway) storeUnavailable(id string, err error) error {
	g.opts.Log.Warn().Str("job", id).Err(err).Msg("cannot serve a request for a job without the store")
	return unavailable(outcome.KindStoreDown, "the store does not respond", retryAfterStart)
}

// Batching of results for a reader that allows a wait. Readers pause between two reads, counted from the start of the
// first one: a reader that is answered with the first of several results learns of the last one a pause later.
const (
	// dueSlack is how long after their due time results still count as in time for a trainer, less the time of a
	// response.
	dueSlack = 500 * time.Millisecond
	// fullResponseResults is the number of results from which a reader is answered at once; that many fill a good part
	// of a page.
	fullResponseResults = 32
)

// waitForResults waits until a reader of the results from a position on has to be answered: when all that its trainer
// waits for is listed, when there is a good part of a page, or when the wait is over.
func (g *Gateway) waitForResults(ctx context.Context, e *jobEntry, after int, wait time.Duration) batch.Record {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	collected := time.NewTimer(g.collectWait(e, wait))
	defer collected.Stop()
	waited := false
	for {
		g.mu.Lock()
		record, changed := e.record, e.changed
		g.mu.Unlock()
		if ctx.Err() != nil || record.Ended || record.Listed == record.Total || record.Listed-after >= fullResponseResults ||
			record.Listed > after && (waited || record.EnoughGroups) {
			return record
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-collected.C:
			waited = true
		}
	}
}

// collectWait returns how long results are batched for a reader: as long as they are in time for its trainer.
func (g *Gateway) collectWait(e *jobEntry, wait time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if left := e.record.AcceptedAt + e.record.Due + dueSlack - g.storeClock(); left > 0 {
		return min(wait, left)
	}
	return wait
}

// currentRecord returns a record that is at most maxViewAge old.
func (g *Gateway) currentRecord(ctx context.Context, e *jobEntry) (batch.Record, error) {
	g.mu.Lock()
	record, fresh := e.record, g.storeRespondedWithin(maxViewAge)
	g.mu.Unlock()
	if fresh {
		return record, nil
	}
	if _, err := g.readJob(ctx, e.id); err != nil {
		return batch.Record{}, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return e.record, nil
}

// fillPage adds the results from page.Next on, from memory or the store.
func (g *Gateway) fillPage(ctx context.Context, e *jobEntry, page call.ResultPage, listed int) (call.ResultPage, error) {
	results := g.cachedResults(e, page.Next, listed)
	if len(results) == 0 {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		ctx = g.servedFrom(ctx, e)
		var err error
		if results, err = g.readResultRows(ctx, e.id, page.Next); err != nil {
			return page, g.storeUnavailable(e.id, err)
		}
		g.cacheResults(e, page.Next, results)
	}
	size := 0
	for _, r := range results {
		if size += len(r.Output); page.Next == listed || len(page.Results) > 0 && size > maxPageBytes {
			break
		}
		page.Results = append(page.Results, r)
		page.Next++
	}
	return page, nil
}

// cachedResults returns the results from a position on that are in memory without a gap.
func (g *Gateway) cachedResults(e *jobEntry, from, listed int) []batch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	var results []batch.Result
	for position := from; position < listed; position++ {
		r, ok := e.resultCache[position]
		if !ok {
			break
		}
		results = append(results, r)
	}
	return results
}

// cacheResults keeps results in memory that were read for an open job.
func (g *Gateway) cacheResults(e *jobEntry, from int, results []batch.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.record.Ended {
		return
	}
	for i, r := range results {
		e.resultCache[from+i] = r
	}
}

// readResultRows reads the results of a job from a position on and joins values that span several rows.
func (g *Gateway) readResultRows(ctx context.Context, id string, from int) ([]batch.Result, error) {
	r := jobRange(resultTable, id)
	r.From = resultKey(id, from).Key
	rows, _, err := readRange(ctx, g.opts.Rows, r, g.recordStoreResponse)
	if err != nil {
		return nil, err
	}
	var values [][]byte
	for _, row := range rows {
		if strings.Contains(row.Key[len(id):], "+") && len(values) > 0 {
			values[len(values)-1] = append(values[len(values)-1], row.Value...)
			continue
		}
		values = append(values, row.Value)
	}
	results := make([]batch.Result, len(values))
	for i, value := range values {
		if err := json.Unmarshal(value, &results[i]); err != nil {
			return nil, fmt.Errorf("decode result %d of job %s: %w", from+i, id, err)
		}
	}
	return results, nil
}

// ItemBody returns the request body of an item that is not listed yet.
func (g *Gateway) ItemBody(ctx context.Context, r call.BatchRequest) ([]byte, error) {
	e, err := g.findJob(ctx, r)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	if e.owned != nil {
		if p, ok := e.owned.job.Get(r.Item); ok {
			g.mu.Unlock()
			return p.Item.Body, nil
		}
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	spec, err := g.readSpec(g.servedFrom(ctx, e), e)
	if err != nil {
		return nil, g.storeUnavailable(e.id, err)
	}
	for i := range spec.Items {
		if spec.Items[i].ID == r.Item {
			return spec.Items[i].Body, nil
		}
	}
	return nil, newRefusal(outcome.KindNotFound, http.StatusNotFound, "the job has no such item", "check the item's ID")
}
