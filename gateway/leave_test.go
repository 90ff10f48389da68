package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Guards against a stop that exceeds its deadline, so that the process is killed, because the store does not respond.
func TestStopMeetsDeadlineWithoutStore(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.upstreams.script(respondAfter(100 * time.Millisecond))
	w.mustSubmit(g, "job-1", testItems(40)...)
	w.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Hang })
	started := time.Now()
	g.Leave(time.Now().Add(7 * time.Second))
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

// Guards against a stopping process that removes the heartbeat of its restarted successor, whose jobs are then taken
// away.
func TestStopKeepsSuccessorHeartbeat(t *testing.T) {
	w := newTestCluster(t)
	old := w.start("a")
	w.eventually("a heartbeat is stored", func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.heartbeatRowVersion > 0
	})
	w.kill("a") // its heartbeat is removed below
	w.start("a")
	w.eventually("the successor's heartbeat is stored", func() bool {
		page, err := w.store.Range(t.Context(), hosting.RowRange{Table: heartbeatTable})
		return err == nil && len(page.Rows) == 1 && page.Rows[0].Version > old.heartbeatRowVersion
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	old.removeHeartbeat(ctx)
	page, err := w.store.Range(t.Context(), hosting.RowRange{Table: heartbeatTable})
	if err != nil || len(page.Rows) != 1 {
		t.Errorf("%d heartbeats are left, %v", len(page.Rows), err)
	}
}

// Guards against duties that nobody performs until the last caller of a leaving process has its response, and against
// usage that was counted but never stored.
func TestLeavingReleasesDutiesAtOnce(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	w.eventually("a holds the duties", func() bool { _, ok := a.mayAct(); return ok })
	b := w.start("b")
	a.Leave(time.Now().Add(7 * time.Second))
	left := time.Now()
	w.eventually("b holds the duties", func() bool { _, ok := b.mayAct(); return ok })
	if took := time.Since(left); took > 2*time.Second {
		t.Errorf("the duties were taken over after %s; the lease lasts %s", took, a.opts.Timing.Lease)
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
