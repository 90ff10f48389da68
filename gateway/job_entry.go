package gateway

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

// jobEntry is what this process knows of a job.
type jobEntry struct {
	id      string
	record  batch.Record
	version int64
	// changed is closed and replaced when the record changes.
	changed chan struct{}
	// owned is set while this process runs the items.
	owned *ownedJob
	// cache holds listed results of an open job that were read, by position. Those of an ended job are read again from the
	// store, so that memory does not grow with the jobs of the day.
	cache map[int]batch.Result
	// endedAt is the store's clock when this process learnt that the job has ended.
	endedAt time.Duration
	// leftover is what the job left when it ended while this process ran it; nil when that is not known here.
	leftover *leftover
	// adopting is set while this process takes the job over.
	adopting bool
	// unsound is set once the record was found to contradict itself; nobody runs such a job.
	unsound bool
}

// jobParts is the number of partitions over which jobs are spread; a partition takes about 200 transactions a second.
const jobParts = 16

// jobPart returns the partition of a job.
func jobPart(id string) string {
	h := fnv.New32a()
	h.Write([]byte(id))
	return fmt.Sprintf("p%02d", h.Sum32()%jobParts)
}

func jobKey(table, id string) hosting.RowKey {
	return hosting.RowKey{Table: table, Part: jobPart(id), Key: id}
}

// jobRow is the key of a further row of a job, in the job's partition.
func jobRow(table, id, name string) hosting.RowKey {
	return hosting.RowKey{Table: table, Part: jobPart(id), Key: id + "/" + name}
}

// positionKey is the key of a result; keys of one job are in the order of the positions.
func positionKey(id string, position int) hosting.RowKey {
	return jobRow(resultTable, id, fmt.Sprintf("%07d", position))
}

// chunkKey is the key of a part of a job's content.
func chunkKey(id string, chunk int) hosting.RowKey {
	return jobRow(contentTable, id, fmt.Sprintf("%04d", chunk))
}

// progressKey is the key of the text in progress of an item.
func progressKey(id, item string) hosting.RowKey { return jobRow(progressTable, id, item) }

// leftKey is the key of what an ended job left of its incomplete groups.
func leftKey(id string) hosting.RowKey { return jobRow(leftTable, id, "left") }

// jobRange selects the rows of a job in a table with keys that start with the job's ID.
func jobRange(table, id string) hosting.RowRange {
	return hosting.RowRange{Table: table, Part: jobPart(id), From: id + "/", To: id + "0"} // "0" follows "/"
}

func (g *Gateway) jobWatch() *watch {
	w := g.newWatch(jobTable, true)
	w.answered = g.jobsHeard
	g.mu.Lock()
	w.wait = min(watchWait, time.Duration(jobWatchShare*float64(g.jobViewValid())))
	g.mu.Unlock()
	w.apply = func(c hosting.RowChange) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.Deleted {
			g.dropJob(c.Key)
			return
		}
		g.takeJobRow(c.StoredRow)
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range rows {
			w.guarded("row of "+w.table, func() { g.takeJobRow(r) })
		}
		g.jobsLoaded = true
	}
	return w
}

// takeJobRow takes the record of a job if it is newer than the one known. The caller holds the lock.
func (g *Gateway) takeJobRow(r hosting.StoredRow) *jobEntry {
	var record batch.Record
	if err := json.Unmarshal(r.Value, &record); err != nil {
		g.skipRow(r.RowKey, err)
		return nil
	}
	return g.takeRecord(r.Key, record, r.Version)
}

// takeRecord takes a record. The caller holds the lock.
func (g *Gateway) takeRecord(id string, record batch.Record, version int64) *jobEntry {
	e, ok := g.jobs[id]
	if !ok {
		e = &jobEntry{id: id, changed: make(chan struct{}), cache: map[int]batch.Result{}}
		g.jobs[id] = e
	}
	if version <= e.version {
		return e
	}
	if record.Ended && !e.record.Ended {
		e.endedAt = g.storeClock()
	}
	e.record, e.version = record, version
	close(e.changed)
	e.changed = make(chan struct{})
	if record.Ended {
		clear(e.cache)
	}
	if e.owned != nil {
		g.ownedChanged(e)
	} else if record.Open() && record.OwnedBy(g.opts.Host, g.opts.Incarnation) && record.AcceptedBy != g.opts.Incarnation {
		select {
		case g.jobAssigned <- struct{}{}:
		default:
		}
	}
	return e
}

// dropJob forgets a job whose rows were deleted. The caller holds the lock.
func (g *Gateway) dropJob(id string) {
	if e, ok := g.jobs[id]; ok {
		close(e.changed)
		if e.owned != nil {
			e.owned.stop()
		}
		delete(g.jobs, id)
	}
}
