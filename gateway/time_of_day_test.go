package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
)

// jumpingClock is the system time plus an offset that a test sets.
type jumpingClock struct{ offset atomic.Int64 }

func (c *jumpingClock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Guards against a usage window that is closed and reported before its end, and against a request that is counted in
// the wrong window. Both could come about when the clock of the duty holder jumps forward.
func TestClockJumpClosesNoWindow(t *testing.T) {
	w := newTestCluster(t)
	clock := &jumpingClock{}
	w.wall = clock.now
	g := w.start("a")
	w.eventually("the host holds the duties", func() bool { _, ok := g.mayAct(); return ok })
	w.eventually("a window is reported", func() bool {
		w.duties.mu.Lock()
		defer w.duties.mu.Unlock()
		return len(w.duties.reports) > 0
	})
	clock.offset.Store(int64(20 * time.Second))
	window := g.windowOf(time.Now())
	if _, err := w.request(g, t.Context(), "/quote/1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	clock.offset.Store(0)
	w.duties.mu.Lock()
	for _, r := range w.duties.reports {
		if r.window >= window {
			t.Errorf("window %d was reported, and %d has not ended", r.window, window)
		}
	}
	w.duties.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, counts := range g.usage {
		if len(counts.Counts) > 0 && number != window && number != window+1 {
			t.Errorf("the request was counted in window %d, %d windows away", number, number-window)
		}
	}
}

// Guards against results that count as late, or a job that is abandoned, when the clocks of the hosts jump while
// results arrive. Both must depend on the store's clock alone.
func TestClockJumpMakesNoResultLate(t *testing.T) {
	w := newTestCluster(t)
	clock := &jumpingClock{}
	w.wall = clock.now
	g := w.start("a")
	w.upstreams.script(respondAfter(150 * time.Millisecond))
	items := testItems(12)
	w.mustSubmit(g, "job-1", items...)
	for i := range 4 {
		clock.offset.Store(int64(time.Duration(i%2) * 40 * time.Second)) // longer than the lifetime of an item
		time.Sleep(50 * time.Millisecond)
	}
	for _, r := range w.readAll(g, "job-1") {
		if r.State != batch.Succeeded {
			t.Errorf("%s is %s", r.ID, r.State)
		}
	}
}

// Guards against results that are delayed, duplicated or reordered while the API of the platform does not respond to
// usage reports.
func TestSilentPlatformAPIDelaysNoResult(t *testing.T) {
	w := newTestCluster(t)
	w.duties.silent = true
	g := w.start("a")
	w.eventually("the host holds the duties", func() bool { _, ok := g.mayAct(); return ok })
	w.upstreams.script(respondAfter(50 * time.Millisecond))
	items := testItems(24)
	started := time.Now()
	w.mustSubmit(g, "job-1", items...)
	before := w.readAll(g, "job-1")
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("the job took %s", took)
	}
	w.checkExactlyOnce(before, items)
	w.duties.mu.Lock()
	w.duties.silent = false
	w.duties.mu.Unlock()
	w.eventually("usage is reported once the API responds", func() bool {
		w.duties.mu.Lock()
		defer w.duties.mu.Unlock()
		return len(w.duties.reports) > 0
	})
	page, err := g.Results(t.Context(), call.BatchRequest{ID: "job-1", Host: testHost, Key: testKey})
	if err != nil || len(page.Results) != len(before) {
		t.Fatalf("%d results afterwards, %v", len(page.Results), err)
	}
	for i, r := range page.Results {
		if r.ID != before[i].ID {
			t.Errorf("position %d held %s and now holds %s", i, before[i].ID, r.ID)
		}
	}
}
