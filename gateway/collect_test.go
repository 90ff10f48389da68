package gateway

import (
	"testing"
	"time"
)

// Guards against a store that fills up with old jobs, and against the deletion of one that may still be asked for.
func TestOldJobsAreDeleted(t *testing.T) {
	w := newWorld(t)
	g := w.start("a")
	w.mustSubmit(g, "old", testItems(3)...)
	w.readAll(g, "old")
	w.eventually("the job has stored what it leaves", func() bool { return len(w.store.Table(carryoverTable)) > 0 })
	c := &jobGC{g: g}
	if list := c.expiredJobs(); len(list) != 0 {
		t.Errorf("%v is deleted within its lifetime", list)
	}
	g.SetTiming(Timing{BatchLifetime: -gcClockMargin - time.Second})
	c.run(t.Context())
	for _, table := range []string{jobTable, contentTable, resultTable, progressTable, carryoverTable} {
		if rows := w.store.Table(table); len(rows) != 0 {
			t.Errorf("%d rows are left in %s", len(rows), table)
		}
	}
}
