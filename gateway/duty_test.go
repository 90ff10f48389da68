package gateway

import (
	"maps"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against two different counts for one usage window, and against a successor that acts under a term that is
// not higher.
func TestUsageIsReportedOnce(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	for range 5 {
		for _, g := range []*Gateway{a, b} {
			if _, err := w.request(g, t.Context(), "/quote/1"); err != nil {
				t.Fatal(err)
			}
		}
	}
	window := a.windowOf(time.Now())
	reported := func() *usageReport {
		w.duties.mu.Lock()
		defer w.duties.mu.Unlock()
		for i := range w.duties.reports {
			if w.duties.reports[i].window >= window && len(w.duties.reports[i].counts) > 0 {
				return &w.duties.reports[i]
			}
		}
		return nil
	}
	w.eventually("the window is reported", func() bool { return reported() != nil })
	first := *reported()
	if first.counts["north"] != 10 {
		t.Errorf("reported %v, want 10 requests", first.counts)
	}
	w.kill(first.holder)
	w.eventually("the successor reports", func() bool {
		w.duties.mu.Lock()
		defer w.duties.mu.Unlock()
		last := w.duties.reports[len(w.duties.reports)-1]
		return last.holder != first.holder
	})
	w.duties.mu.Lock()
	defer w.duties.mu.Unlock()
	term := int64(0)
	for _, r := range w.duties.reports {
		if r.term < term {
			t.Errorf("term %d after term %d", r.term, term)
		}
		term = r.term
		if r.window == first.window && !maps.Equal(r.counts, first.counts) {
			t.Errorf("window %d was reported as %v and %v", r.window, first.counts, r.counts)
		}
	}
}

// Guards against a model version that no upstream is told to load, and against an order under another term or
// by another holder.
func TestVersionsAreOrdered(t *testing.T) {
	w := newTestCluster(t)
	w.start("a")
	w.store.Put("operators", "version/"+testModel, []byte(`{"Model":"fares","Version":3}`))
	w.eventually("the version is ordered", func() bool {
		w.upstreams.mu.Lock()
		defer w.upstreams.mu.Unlock()
		return len(w.upstreams.orders) > 0
	})
	w.upstreams.mu.Lock()
	defer w.upstreams.mu.Unlock()
	o := w.upstreams.orders[0]
	if o.Version != 3 || o.Holder != "a" || o.Term < 1 || o.ExpectedOrders != 0 || o.Strategy != upstreamcall.Retain {
		t.Errorf("ordered %+v", o)
	}
}

// Guards against duties that nobody performs for the whole lease although the host that held them has restarted. Here
// every process ends and starts again.
func TestRestartedHolderRegainsDuties(t *testing.T) {
	w := newTestCluster(t)
	holds := func(g *Gateway) func() bool {
		return func() bool { _, ok := g.mayAct(); return ok }
	}
	a := w.start("a")
	w.eventually("a holds the duties", holds(a))
	before, _ := a.mayAct()
	w.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Refuse }) // the lease is not released
	w.kill("a")
	w.store.SetFaults(nil)
	started := time.Now()
	a = w.start("a")
	w.eventually("a holds the duties again", holds(a))
	term, _ := a.mayAct()
	if took := time.Since(started); term <= before || took > 2*time.Second {
		t.Errorf("term %d after %d, taken after %s; want a higher one well before the lease of 3 s ends", term, before, took)
	}
}

// Guards against two hosts that perform the duties in turn within the lease when they are stopped and started one after
// the other.
func TestRestartedHostDoesNotTakeDutiesBackWithinLease(t *testing.T) {
	w := newTestCluster(t)
	holds := func(g *Gateway) func() bool {
		return func() bool { _, ok := g.mayAct(); return ok }
	}
	a := w.start("a")
	w.eventually("a holds the duties", holds(a))
	b := w.start("b")
	lastActed := time.Now()
	w.stop(a)
	w.eventually("b holds the duties", holds(b))
	a = w.start("a")
	w.stop(b)
	stopped := time.Now()
	w.eventually("a holds the duties again", holds(a))
	lease := a.opts.Timing.Lease
	if took := time.Since(lastActed); took < lease {
		t.Errorf("a performs the duties again after %s; b performed them in between, and the lease lasts %s", took, lease)
	}
	if idle := time.Since(stopped); idle > 2*lease {
		t.Errorf("nobody performs the duties for %s; the lease lasts %s", idle, lease)
	}
}
