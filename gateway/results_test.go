package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// readOnce reads a job from a position on and returns the results and the duration of the call.
func (w *testCluster) readOnce(g *Gateway, id string, after int, wait time.Duration) ([]batch.Result, time.Duration) {
	w.t.Helper()
	began := time.Now()
	page, err := g.Results(w.t.Context(), call.BatchRequest{ID: id, Host: testHost, Key: testKey, After: after, Wait: wait})
	if err != nil {
		w.t.Fatal(err)
	}
	return page.Results, time.Since(began)
}

// staggerItems makes the items of testItems finish one after the other, one step apart. Items from number hanging on
// never finish.
func (w *testCluster) staggerItems(step time.Duration, hanging int) {
	number := func(r *upstreamcall.Request) (n int) {
		_, _ = fmt.Sscanf(r.ID, "item-%d", &n)
		return n
	}
	w.upstreams.hangs = func(r *upstreamcall.Request) bool { return number(r) >= hanging }
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		time.Sleep(time.Duration(number(r)) * step)
		return nil, nil
	})
}

// Guards against answering a reader with the first of the last results of a step, which finish a few hundred
// milliseconds apart. Its trainer pauses between two reads and would learn of the last one a pause later.
func TestReaderGetsAllResultsInOneResponse(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 16, map[string]int64{testModel: 1})
	g := w.start("a")
	w.staggerItems(40*time.Millisecond, 8)
	w.mustSubmit(g, "job-1", testItems(8)...)
	results, took := w.readOnce(g, "job-1", 0, 2*time.Second)
	if len(results) != 8 {
		t.Errorf("%d of 8 results in the first response", len(results))
	}
	if took > 800*time.Millisecond {
		t.Errorf("answered after %s; all results were listed after 0.4 s", took)
	}
}

// Guards against results that are withheld from a reader beyond its wait while others are missing.
func TestReaderGetsPartialResultsAfterItsWait(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 16, map[string]int64{testModel: 1})
	g := w.start("a")
	w.staggerItems(20*time.Millisecond, 7)
	w.mustSubmit(g, "job-1", testItems(8)...)
	const wait = 700 * time.Millisecond
	results, took := w.readOnce(g, "job-1", 0, wait)
	if len(results) != 7 || took > wait+200*time.Millisecond {
		t.Errorf("%d of 7 results after %s", len(results), took)
	}
	if again, took := w.readOnce(g, "job-1", 0, 0); len(again) != 7 || took > 200*time.Millisecond {
		t.Errorf("a reader that does not wait got %d of 7 results after %s", len(again), took)
	}
}

// Guards against results that are late for their trainer because they were held back to be returned with others.
func TestResultsAreReturnedBeforeTheyAreLate(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 16, map[string]int64{testModel: 1})
	g := w.start("a")
	w.staggerItems(0, 7)
	w.mustSubmit(g, "job-1", testItems(8)...)
	w.eventually("results are listed", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.jobs["job-1"].record.Listed == 7
	})
	g.mu.Lock()
	e := g.jobs["job-1"]
	e.record.Due = g.storeClock() - e.record.AcceptedAt + 300*time.Millisecond - dueSlack
	g.mu.Unlock()
	if results, took := w.readOnce(g, "job-1", 0, 2*time.Second); len(results) != 7 || took > 600*time.Millisecond {
		t.Errorf("%d of 7 results after %s; they are late after 0.3 s", len(results), took)
	}
}

// Guards against a growing backlog because each read of a large job waits although a page is full.
func TestFullPageIsReturnedAtOnce(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 64, map[string]int64{testModel: 1})
	g := w.start("a")
	w.staggerItems(0, fullResponseResults+4)
	w.mustSubmit(g, "job-1", testItems(fullResponseResults+8)...)
	results, took := w.readOnce(g, "job-1", 0, 2*time.Second)
	if len(results) < fullResponseResults || took > time.Second {
		t.Errorf("%d results after %s, want %d at once", len(results), took, fullResponseResults)
	}
}
