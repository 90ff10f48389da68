package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Guards against a stop that outlasts its time, and is ended by force, because the store is silent.
func TestStopEndsInTimeWithoutTheStore(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.upstreams.script(slowly(100 * time.Millisecond))
	w.mustSubmit(g, "job-1", testItems(40)...)
	w.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Silent })
	started := time.Now()
	g.Leave()
	const budget = 800 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), budget)
	defer cancel()
	stopping := time.Now()
	g.Stop(ctx)
	if took := time.Since(stopping); took > budget+200*time.Millisecond {
		t.Errorf("the stop took %s of %s", took, budget)
	}
	if took := time.Since(started); took > handOverTimeout+budget+time.Second {
		t.Errorf("leaving and stopping took %s", took)
	}
}

// Guards against a heartbeat of a restarted process that the former one removes, so that its jobs are taken away.
func TestStopLeavesTheHeartbeatOfASuccessor(t *testing.T) {
	w := newTestCluster(t)
	old := w.start("a")
	w.eventually("a heartbeat is stored", func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.heartbeatRowVersion > 0
	})
	w.kill("a") // its removal is still to come
	w.start("a")
	w.eventually("the successor's heartbeat is stored", func() bool {
		page, err := w.store.Range(t.Context(), hosting.RowRange{Table: beatTable})
		return err == nil && len(page.Rows) == 1 && page.Rows[0].Version > old.heartbeatRowVersion
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	old.removeBeat(ctx)
	page, err := w.store.Range(t.Context(), hosting.RowRange{Table: beatTable})
	if err != nil || len(page.Rows) != 1 {
		t.Errorf("%d heartbeats are left, %v", len(page.Rows), err)
	}
}

// Guards against duties that rest until the last caller of a leaving process has its answer, and against usage that was counted
// and never stored.
func TestLeavingGivesUpTheDutiesAtOnce(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	w.eventually("a holds the duties", func() bool { _, ok := a.mayAct(); return ok })
	b := w.start("b")
	a.Leave()
	left := time.Now()
	w.eventually("b holds the duties", func() bool { _, ok := b.mayAct(); return ok })
	if took := time.Since(left); took > 2*time.Second {
		t.Errorf("the duties changed hands after %s; the lease lasts %s", took, a.opts.Timing.Lease)
	}
	if _, err := w.request(a, t.Context(), "/quote/1"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a.Stop(ctx)
	page, err := w.store.Range(t.Context(), hosting.RowRange{Table: usageTable})
	if err != nil || len(page.Rows) == 0 {
		t.Errorf("%d rows of usage are stored, %v", len(page.Rows), err)
	}
}
