package gateway

import (
	"testing"
	"time"
)

// Guards against a store that fills up with old jobs, and against deleting a job whose results may still be
// requested.
func TestOldJobsAreDeleted(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.mustSubmit(g, "old", testItems(3)...)
	w.readAll(g, "old")
	w.eventually("the carryover of the job is stored", func() bool { return len(w.store.Table(carryoverTable)) > 0 })
	c := &jobGC{g: g}
	if list := c.expiredJobs(); len(list) != 0 {
		t.Errorf("%v would be deleted within its lifetime", list)
	}
	g.SetTiming(Timing{BatchLifetime: -gcClockMargin - time.Second})
	c.run(t.Context())
	for _, table := range []string{jobTable, contentTable, resultTable, progressTable, carryoverTable} {
		if rows := w.store.Table(table); len(rows) != 0 {
			t.Errorf("%d rows are left in %s", len(rows), table)
		}
	}
}
