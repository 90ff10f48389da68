package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// injectOnJobContent injects a fault into the first transactions that write a job's content.
func injectOnJobContent(fault rows.Fault, times int) rows.Injector {
	return func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
		if txn == nil || !putsInto(txn, contentTable) || times == 0 {
			return rows.NoFault
		}
		times--
		return fault
	}
}

// Guards against a "not run" for a job that the store has stored or may still store, and against a job that is
// accepted twice.
func TestSubmitWithStoreFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  rows.Fault
		times  int
		status int
	}{
		{"lost response", rows.DropResponse, 1, http.StatusAccepted}, {"lost call", rows.DropCall, 1, http.StatusAccepted},
		{"refused once", rows.Refuse, 1, http.StatusAccepted}, {"refused always", rows.Refuse, 1000, http.StatusServiceUnavailable},
		{"no response", rows.Defer, 1000, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			g := w.start("a")
			w.store.SetFaults(injectOnJobContent(c.fault, c.times))
			items := testItems(3)
			response, err := w.submit(g, "job-1", items...)
			if c.status == http.StatusAccepted {
				if err != nil || response.Status != c.status {
					t.Fatalf("%+v, %v", response, err)
				}
				w.checkExactlyOnce(w.readAll(g, "job-1"), items)
				return
			}
			r := asRefusal(t, err)
			if r.Status != c.status || (r.Outcome == outcome.NotRun) != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("answered %d %s, want %d", r.Status, r.Outcome, c.status)
			}
			w.store.SetFaults(nil)
			w.store.ApplyDeferred()
			if c.fault == rows.Defer {
				w.checkExactlyOnce(w.readAll(g, "job-1"), items) // the store executed the transaction in the end
				return
			}
			time.Sleep(300 * time.Millisecond)
			if n := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); n != 0 {
				t.Errorf("%d items of a refused job ran", n)
			}
		})
	}
}

// Guards against a job that runs twice or is refused because it is submitted again at another process.
func TestRepeatedSubmission(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	items := testItems(5)
	w.mustSubmit(a, "job-1", items...)
	w.mustSubmit(b, "job-1", items...)
	w.checkExactlyOnce(w.readAll(b, "job-1"), items)
	if n := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); n != len(items) {
		t.Errorf("%d runs of %d items", n, len(items))
	}
}

// Guards against items that start at any process after the end of their job was acknowledged.
func TestEndStopsItems(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	w.upstreams.script(respondAfter(100 * time.Millisecond))
	w.mustSubmit(a, "job-1", testItems(60)...)
	request := call.BatchRequest{ID: "job-1", Host: testHost, Key: testKey}
	if err := b.EndBatch(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	before := w.upstreams.requests(func(upstreamcall.Request) bool { return true })
	time.Sleep(500 * time.Millisecond)
	if after := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); after != before {
		t.Errorf("%d items started after the end", after-before)
	}
	if err := a.EndBatch(t.Context(), request); err != nil {
		t.Errorf("a repeated end: %v", err)
	}
}

// Guards against a 404 from a process that cannot reach the store, and against returning results of another
// workspace's job.
func TestStoreOutageIsNotNotFound(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.mustSubmit(g, "job-1", testItems(2)...)
	if _, err := g.Results(t.Context(), call.BatchRequest{ID: "none", Host: testHost, Key: testKey}); asRefusal(t, err).Status != http.StatusNotFound {
		t.Errorf("a job that does not exist: %v", err)
	}
	if _, err := g.Results(t.Context(), call.BatchRequest{ID: "job-1", Host: testHost, Key: "other"}); asRefusal(t, err).Status != http.StatusUnauthorized {
		t.Errorf("an unknown key: %v", err)
	}
	w.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Refuse })
	_, err := g.Results(t.Context(), call.BatchRequest{ID: "none", Host: testHost, Key: testKey})
	if r := asRefusal(t, err); r.Status != http.StatusServiceUnavailable {
		t.Errorf("without the store: %d, want 503", r.Status)
	}
}

// Guards against a later job that does not know the incomplete groups of the job before it, although they come again.
func TestIncompleteGroupsCarryOver(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	blocked := make(chan struct{})
	defer close(blocked)
	items := testItems(4)
	for i := range items {
		items[i].Group = fmt.Sprint("g", i/2)
	}
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		if r.ID == items[3].ID {
			<-blocked
		}
		return nil, nil
	})
	w.mustSubmit(g, "job-1", items...)
	w.eventually("three items are listed", func() bool { return len(w.store.Table(resultTable)) == 3 })
	if err := g.EndBatch(t.Context(), call.BatchRequest{ID: "job-1", Host: testHost, Key: testKey}); err != nil {
		t.Fatal(err)
	}
	w.eventually("the carryover of the job is stored", func() bool { return len(w.store.Table(carryoverTable)) == 1 })
	w.mustSubmit(g, "job-2", items[2:]...)
	w.eventually("the later job knows the group", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		o := g.jobs["job-2"].owned
		return o != nil && !o.awaitingCarryover && o.job.CarriedGroups() == 1
	})
}

// Guards against a restarted process that reads the carryover of all recent jobs and has no time left for the newest.
func TestNewestEarlierJobsAreUsed(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range 10 {
		id := fmt.Sprint("job-", i)
		g.jobs[id] = &jobEntry{id: id, endedAt: time.Hour, record: batch.Record{
			Model: testModel, Total: 2, Listed: 1, Ended: true, AcceptedAt: time.Duration(i) * time.Second,
		}}
	}
	next := &jobEntry{record: batch.Record{Model: testModel, Total: 2, AcceptedAt: 20 * time.Second}}
	var ids []string
	for _, e := range g.earlierJobs(next) {
		ids = append(ids, e.id)
	}
	if want := []string{"job-9", "job-8", "job-7"}; !slices.Equal(ids, want) {
		t.Errorf("earlier jobs %v, want %v", ids, want)
	}
	clear(g.jobs)
}
