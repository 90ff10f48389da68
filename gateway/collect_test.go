package gateway

import (
	"testing"
	"time"
)

// Guards against a store that fills up with old jobs, and against the deletion of one that may still be asked for.
func TestOldJobsAreDeleted(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.mustSubmit(g, "old", testItems(3)...)
	w.readAll(g, "old")
	w.eventually("the job has stored what it leaves", func() bool { return len(w.store.Table(leftTable)) > 0 })
	c := &collector{g: g}
	if list := c.old(); len(list) != 0 {
		t.Errorf("%v is deleted within its lifetime", list)
	}
	g.SetTiming(Timing{BatchLifetime: -collectReserve - time.Second})
	c.run(t.Context())
	for _, table := range []string{jobTable, contentTable, resultTable, progressTable, leftTable} {
		if rows := w.store.Table(table); len(rows) != 0 {
			t.Errorf("%d rows are left in %s", len(rows), table)
		}
	}
}
