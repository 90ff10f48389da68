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
)

const (
	// viewFresh is how old this process's view of the jobs may be for an answer that there is nothing new.
	viewFresh = 700 * time.Millisecond
	// maxPageBytes bounds a page of results.
	maxPageBytes = 900 << 10
	// readPatience bounds a read of the store on behalf of a reader.
	readPatience = 1300 * time.Millisecond
)

// Results returns the results of a job from a position on, and waits for one if there is none yet.
func (g *Gateway) Results(ctx context.Context, r call.BatchRequest) (call.ResultPage, error) {
	e, err := g.findJob(ctx, r)
	if err != nil {
		return call.ResultPage{}, err
	}
	record := g.waitListed(ctx, e, r.After, r.Wait)
	if record.Listed <= r.After {
		if record, err = g.sureRecord(ctx, e); err != nil {
			return call.ResultPage{}, err
		}
	}
	page := call.ResultPage{Total: record.Total, Next: r.After}
	if record.Listed <= r.After {
		return page, nil
	}
	return g.fillPage(ctx, e, page, record.Listed)
}

// findJob returns a job of the caller's workspace. A job that this process does not know is looked up in the store; it
// does not exist only if the store says so.
func (g *Gateway) findJob(ctx context.Context, r call.BatchRequest) (*jobEntry, error) {
	workspace, err := g.authorizeBatch(r.Host, r.Key)
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
	return e, nil
}

func noSuchJob() error {
	return newRefusal(outcome.KindNotFound, http.StatusNotFound, "no batch job of this workspace has this ID", "check the ID")
}

// readJob reads the record of a job from the store.
func (g *Gateway) readJob(ctx context.Context, id string) (*jobEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	page, err := g.opts.Rows.Range(ctx, hosting.RowRange{
		Table: jobTable, Part: jobPart(id), From: id, To: id + "\x00", Limit: 1,
	})
	if err != nil {
		return nil, g.unsure(id, err)
	}
	if len(page.Rows) == 0 {
		return nil, noSuchJob()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.takeJobRow(page.Rows[0])
	if e == nil {
		return nil, g.unsure(id, fmt.Errorf("record of job %s cannot be read", id))
	}
	return e, nil
}

// unsure refuses a question that cannot be answered without the store.
func (g *Gateway) unsure(id string, err error) error {
	g.opts.Log.Warn().Str("job", id).Err(err).Msg("question about a job not answered")
	return unavailable(outcome.KindStoreDown, "the store does not answer", retryAfterStart)
}

// Collecting of results for a reader who allows a wait. Readers pause between two reads, counted from the start of the first
// one: a reader who is answered with the first of several results learns of the last one a pause later.
const (
	// dueSlack is how long after the time at which they are due results still count as in time for a trainer, less the time
	// of an answer.
	dueSlack = 500 * time.Millisecond
	// maxCollected is the number of results from which a reader is answered at once; as many fill a good part of a page.
	maxCollected = 32
)

// waitListed waits until there is something to tell a reader about the results from a position on: all that its trainer waits
// for, or a good part of a page, or what there is when its wait is over.
func (g *Gateway) waitListed(ctx context.Context, e *jobEntry, after int, wait time.Duration) batch.Record {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	collected := time.NewTimer(g.collectTime(e, wait))
	defer collected.Stop()
	waited := false
	for {
		g.mu.Lock()
		record, changed := e.record, e.changed
		g.mu.Unlock()
		if ctx.Err() != nil || record.Ended || record.Listed == record.Total || record.Listed-after >= maxCollected ||
			record.Listed > after && (waited || record.Enough) {
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

// collectTime is how long results are collected for a reader: while they would be in time for its trainer.
func (g *Gateway) collectTime(e *jobEntry, wait time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if left := e.record.AcceptedAt + e.record.Due + dueSlack - g.storeClock(); left > 0 {
		return min(wait, left)
	}
	return wait
}

// sureRecord returns a record that is at most viewFresh old.
func (g *Gateway) sureRecord(ctx context.Context, e *jobEntry) (batch.Record, error) {
	g.mu.Lock()
	record, fresh := e.record, g.storeFresh(viewFresh)
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

// fillPage adds the results from page.Next on, out of memory or the store.
func (g *Gateway) fillPage(ctx context.Context, e *jobEntry, page call.ResultPage, listed int) (call.ResultPage, error) {
	results := g.cachedResults(e, page.Next, listed)
	if len(results) == 0 {
		ctx, cancel := context.WithTimeout(ctx, readPatience)
		defer cancel()
		var err error
		if results, err = g.readResultRows(ctx, e.id, page.Next); err != nil {
			return page, g.unsure(e.id, err)
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

// cachedResults returns the results from a position on that are in memory.
func (g *Gateway) cachedResults(e *jobEntry, from, listed int) []batch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	var results []batch.Result
	for position := from; position < listed; position++ {
		r, ok := e.cache[position]
		if !ok {
			break
		}
		results = append(results, r)
	}
	return results
}

// cacheResults keeps results that were read of an open job.
func (g *Gateway) cacheResults(e *jobEntry, from int, results []batch.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.record.Ended {
		return
	}
	for i, r := range results {
		e.cache[from+i] = r
	}
}

// readResultRows reads the results of a job from a position on.
func (g *Gateway) readResultRows(ctx context.Context, id string, from int) ([]batch.Result, error) {
	r := jobRange(resultTable, id)
	r.From = positionKey(id, from).Key
	rows, _, err := readPart(ctx, g.opts.Rows, r, g.storeAnswered)
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
			return nil, fmt.Errorf("result %d of job %s: %w", from+i, id, err)
		}
	}
	return results, nil
}

// ItemBody returns the body of an item that is not listed yet.
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
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	spec, err := g.readSpec(ctx, e)
	if err != nil {
		return nil, g.unsure(e.id, err)
	}
	for i := range spec.Items {
		if spec.Items[i].ID == r.Item {
			return spec.Items[i].Body, nil
		}
	}
	return nil, newRefusal(outcome.KindNotFound, http.StatusNotFound, "the job has no such item", "check the item's ID")
}
