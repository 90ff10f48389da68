package gateway

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
)

// jobEntry is the state of a job as this process knows it.
type jobEntry struct {
	// ownerChangedAt is when the owner was last seen to change; zero for the owner that the first reading found.
	ownerChangedAt time.Time
	id             string
	record         batch.Record
	version        int64
	// changed is closed and replaced when the record changes.
	changed chan struct{}
	// owned is set while this process runs the items.
	owned *ownedJob
	// resultCache holds listed results of an open job, by position. Results of an ended job are read from the store
	// each time, so that memory does not grow with the jobs of the day.
	resultCache map[int]batch.Result
	// endedAt is the store's clock when this process learned that the job has ended.
	endedAt time.Duration
	// carryover is the job's progress in its incomplete groups when it ended; nil unless this process ran it then,
	// and once it is too old.
	carryover *carryover
	// adopting is set while this process takes over the job.
	adopting bool
	// inconsistent is set if the record did not match itself or the job's content; no process runs such a job.
	inconsistent bool
}

// jobPartitions is the number of partitions over which jobs are spread; a partition takes about 200 transactions a
// second.
const jobPartitions = 16

// jobPartition returns the partition of a job.
func jobPartition(id string) string {
	h := fnv.New32a()
	h.Write([]byte(id))
	return fmt.Sprintf("p%02d", h.Sum32()%jobPartitions)
}

func jobKey(table, id string) hosting.RowKey {
	return hosting.RowKey{Table: table, Part: jobPartition(id), Key: id}
}

// jobSubKey returns the key of a further row of a job, in the job's partition.
func jobSubKey(table, id, name string) hosting.RowKey {
	return hosting.RowKey{Table: table, Part: jobPartition(id), Key: id + "/" + name}
}

// resultKey returns the key of a result. The keys of one job sort by position.
func resultKey(id string, position int) hosting.RowKey {
	return jobSubKey(resultTable, id, fmt.Sprintf("%07d", position))
}

// chunkKey returns the key of one chunk of a job's content.
func chunkKey(id string, chunk int) hosting.RowKey {
	return jobSubKey(contentTable, id, fmt.Sprintf("%04d", chunk))
}

// progressKey returns the key of the saved text of an item.
func progressKey(id, item string) hosting.RowKey { return jobSubKey(progressTable, id, item) }

// carryoverKey returns the key of the carryover of an ended job.
func carryoverKey(id string) hosting.RowKey { return jobSubKey(carryoverTable, id, "left") }

// jobRange selects the rows of a job in a table whose keys start with the job's ID and a slash.
func jobRange(table, id string) hosting.RowRange {
	return hosting.RowRange{Table: table, Part: jobPartition(id), From: id + "/", To: id + "0"} // "0" is the character after "/"
}

func (g *Gateway) jobWatch() *tableWatch {
	w := g.newTableWatch(jobTable, true)
	w.onResponse = g.recordJobWatchResponse
	g.mu.Lock()
	w.wait = min(watchWait, time.Duration(jobWatchWaitFraction*float64(g.jobViewTTL())))
	g.mu.Unlock()
	w.apply = func(c hosting.RowChange) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.Deleted {
			g.dropJob(c.Key)
			return
		}
		g.applyJobRow(c.StoredRow)
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range rows {
			w.recoverPanic("row of "+w.table, func() { g.applyJobRow(r) })
		}
		g.jobsLoaded = true
	}
	return w
}

// applyJobRow applies the record of a job if it is newer than the known one. It returns nil if the row cannot be
// decoded. The caller holds g.mu.
func (g *Gateway) applyJobRow(r hosting.StoredRow) *jobEntry {
	var record batch.Record
	if err := json.Unmarshal(r.Value, &record); err != nil {
		g.skipRow(r.RowKey, err)
		return nil
	}
	return g.applyRecord(r.Key, record, r.Version)
}

// applyRecord applies a record if it is newer than the known one. The caller holds g.mu.
func (g *Gateway) applyRecord(id string, record batch.Record, version int64) *jobEntry {
	e, ok := g.jobs[id]
	if !ok {
		e = &jobEntry{id: id, changed: make(chan struct{}), resultCache: map[int]batch.Result{}}
		g.jobs[id] = e
	}
	if version <= e.version {
		return e
	}
	if record.Ended && !e.record.Ended {
		e.endedAt = g.storeClock()
	}
	if g.jobsLoaded && !e.record.OwnedBy(record.Owner, record.OwnerIncarnation) {
		e.ownerChangedAt = time.Now()
	}
	e.record, e.version = record, version
	close(e.changed)
	e.changed = make(chan struct{})
	if record.Ended {
		clear(e.resultCache)
	}
	if e.owned != nil {
		g.ownedRecordChanged(e)
	} else if record.Open() && (record.OwnedBy(g.opts.Host, g.opts.Incarnation) && record.AcceptedBy != g.opts.Incarnation ||
		record.Owner == "") {
		select {
		case g.jobAssigned <- struct{}{}:
		default:
		}
	}
	return e
}

// dropJob removes a job whose rows were deleted. The caller holds g.mu.
func (g *Gateway) dropJob(id string) {
	if e, ok := g.jobs[id]; ok {
		close(e.changed)
		if e.owned != nil {
			e.owned.stop()
		}
		delete(g.jobs, id)
	}
}
