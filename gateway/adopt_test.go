package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/upstreamcall"

	"github.com/radishshelf/radishshelf/hosting"
)

// respondAfter delays every response of an upstream by d.
func respondAfter(d time.Duration) func(*upstreamcall.Request) (*upstreamcall.Response, error) {
	return func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		time.Sleep(d)
		return nil, nil
	}
}

// Guards against losing a job together with the process that accepted it, and against items that its successor lists
// twice.
func TestJobSurvivesItsOwner(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	w.upstreams.script(respondAfter(150 * time.Millisecond))
	items := testItems(40)
	w.mustSubmit(a, "job-1", items...)
	w.eventually("some results are listed", func() bool { return len(w.store.Table(resultTable)) > 0 })
	w.kill("a")
	w.checkExactlyOnce(w.readAll(b, "job-1"), items)
}

// Guards against losing a job when every process ends right after the acknowledgement.
func TestJobSurvivesRestartOfAllProcesses(t *testing.T) {
	w := newTestCluster(t)
	w.upstreams.script(respondAfter(time.Second))
	items := testItems(8)
	w.mustSubmit(w.start("a"), "job-1", items...)
	w.kill("a")
	w.upstreams.script(nil)
	w.checkExactlyOnce(w.readAll(w.start("a"), "job-1"), items)
}

// Guards against taking jobs from their owners because the store was unavailable to all processes.
func TestStoreOutageKeepsJobOwners(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	w.start("b")
	w.upstreams.script(respondAfter(300 * time.Millisecond))
	items := testItems(40)
	w.mustSubmit(a, "job-1", items...)
	w.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Refuse })
	time.Sleep(peerTimeout + time.Second)
	w.store.SetFaults(nil)
	w.checkExactlyOnce(w.readAll(a, "job-1"), items)
	a.mu.Lock()
	defer a.mu.Unlock()
	if owner := a.jobs["job-1"].record.Owner; owner != "a" {
		t.Errorf("the job moved to %q", owner)
	}
}

// Guards against a stopping process that leaves its jobs without an owner until it counts as dead, and against texts
// that restart from the beginning.
func TestLeavingHandsJobsOver(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	w.upstreams.script(respondAfter(100 * time.Millisecond))
	items := testItems(40)
	w.mustSubmit(a, "job-1", items...)
	w.eventually("items run", func() bool { return w.upstreams.requests(func(upstreamcall.Request) bool { return true }) > 2 })
	a.Leave(time.Now().Add(7 * time.Second))
	left := time.Now()
	w.eventually("b owns the job", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		e, ok := b.jobs["job-1"]
		return ok && e.record.Owner == "b"
	})
	if took := time.Since(left); took > peerTimeout/2 {
		t.Errorf("the job was taken over %s after the stop", took)
	}
	w.checkExactlyOnce(w.readAll(b, "job-1"), items)
}

// Guards against placing a job on a host that cannot run it while another one has room, and against spreading the
// jobs of a trainer over hosts although one host can run them all.
func TestOwnerIsChosenByCapacity(t *testing.T) {
	w := newTestCluster(t)
	weak := w.startWithCPUShare("weak", 0.1)
	strong := w.startWithCPUShare("strong", 0.8)
	for _, g := range []*Gateway{weak, strong} {
		w.eventually("the hosts see each other's heartbeats", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.peers.SeenWithin(maxOwnerHeartbeatAge)) == 2 && g.isPeerViewCurrent(time.Now())
		})
	}
	owner := func(job string) string {
		weak.mu.Lock()
		defer weak.mu.Unlock()
		return weak.jobs[job].record.Owner
	}
	items := testItems(100)
	w.mustSubmit(weak, "large", items...)
	w.checkExactlyOnce(w.readAll(strong, "large"), items)
	if owner("large") != "strong" {
		t.Errorf("the large job is at %s", owner("large"))
	}
	owners := map[string]bool{}
	for i, g := range []*Gateway{weak, strong, weak, strong} {
		job := fmt.Sprint("small-", i)
		w.mustSubmit(g, job, testItems(4)...)
		w.readAll(weak, job)
		owners[owner(job)] = true
	}
	if len(owners) != 1 {
		t.Errorf("small jobs of one trainer are at %d hosts", len(owners))
	}
}

// Guards against a successor that resumes a complete text as if it were the first event of a partial one. A leaving
// owner saves a complete text if it cannot list it.
func TestSavedCompleteTextIsNotResumed(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	items := testItems(2)
	record := batch.Record{
		Host: testHost, PathPrefix: "/rollout/", Workspace: "north", Model: testModel, MinVersion: 1, Total: 2, Chunks: 1,
		Due: 5 * time.Second, Lifetime: 20 * time.Second,
	}
	whole := batch.Result{ID: items[0].ID, Output: "event 1\nevent 2\nevent 3", Versions: []int64{1}}.Text()
	var txn hosting.RowTxn
	for key, value := range map[hosting.RowKey]any{
		chunkKey("job-1", 0):              batch.Spec{ID: "job-1", Model: testModel, MinVersion: 1, Items: items},
		progressKey("job-1", items[0].ID): whole,
		jobKey(jobTable, "job-1"):         record,
	} {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		txn.Puts = append(txn.Puts, hosting.StoredRow{RowKey: key, Value: data})
	}
	if _, err := w.store.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	for _, r := range w.readAll(g, "job-1") {
		if r.Output != "event 1\nevent 2\nevent 3" {
			t.Errorf("the text of %s is %q", r.ID, r.Output)
		}
	}
	if rows := w.store.Table(progressTable); len(rows) > 0 {
		t.Errorf("%d saved texts of listed items remain", len(rows))
	}
}

// Guards against jobs that wait for heartbeats although the host that owned them has restarted and knows that it lost
// them. Here every process ends and starts again.
func TestRestartedHostReclaimsItsJobs(t *testing.T) {
	w := newTestCluster(t)
	w.upstreams.script(respondAfter(time.Second))
	id := "job-"
	live := []presence.Heartbeat{{Host: "a", Region: "north"}, {Host: "b", Region: "north"}}
	for i := 0; adoptRank(live, id, "a", &batch.Record{AcceptedIn: "north"}) == 0; i++ {
		id = fmt.Sprint("job-", i) // b has the first rank
	}
	w.mustSubmit(w.start("a"), id, testItems(8)...)
	w.start("b")
	w.kill("a")
	w.kill("b")
	w.upstreams.script(nil)
	started := time.Now()
	b := w.start("b")
	a := w.start("a")
	owner := func() string {
		b.mu.Lock()
		defer b.mu.Unlock()
		if e, ok := b.jobs[id]; ok && (e.record.OwnedBy("a", a.opts.Incarnation) || e.record.Owner == "b") {
			return e.record.Owner
		}
		return ""
	}
	w.eventually("the job has an owner", func() bool { return owner() != "" })
	if got := owner(); got != "a" || time.Since(started) > peerTimeout {
		t.Errorf("job taken over by %s after %s, want a before %s", got, time.Since(started), peerTimeout)
	}
}

// Guards against items that are listed twice because a record counts more listed items than it marks, and against a
// process that rewrites such a record repeatedly.
func TestInconsistentRecordIsNotRun(t *testing.T) {
	w := newTestCluster(t)
	items := testItems(2)
	record := batch.Record{
		Host: testHost, PathPrefix: "/rollout/", Workspace: "north", Model: testModel, Total: 2, Listed: 1, Chunks: 1,
		Due: 5 * time.Second, Lifetime: 20 * time.Second,
	}
	var txn hosting.RowTxn
	for key, value := range map[hosting.RowKey]any{
		chunkKey("job-1", 0): batch.Spec{ID: "job-1", Model: testModel, Items: items}, jobKey(jobTable, "job-1"): record,
	} {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		txn.Puts = append(txn.Puts, hosting.StoredRow{RowKey: key, Value: data})
	}
	if _, err := w.store.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	g := w.start("a")
	w.eventually("the record was checked", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.jobs["job-1"].inconsistent
	})
	time.Sleep(3 * adoptionInterval)
	if n := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); n > 0 || g.jobs["job-1"].record.Owner != "" {
		t.Errorf("%d runs, owner %q", n, g.jobs["job-1"].record.Owner)
	}
}

// Guards against a job that waits until its owner counts as dead, because it was assigned to a process that had just begun
// to leave.
func TestJobAssignedToALeavingProcessIsPassedOn(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.start("a"), w.start("b")
	for _, g := range []*Gateway{a, b} {
		w.eventually("the hosts see each other's heartbeats", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.peers.SeenWithin(maxOwnerHeartbeatAge)) == 2 && g.isPeerViewCurrent(time.Now())
		})
	}
	b.mu.Lock()
	b.leaving = true // no heartbeat has told the others
	b.mu.Unlock()
	// The owner is the host with the highest rank for the trainer, so a model is needed whose jobs go to b.
	for n := 0; ; n++ {
		if n == 40 {
			t.Fatal("no job was assigned to b")
		}
		a.mu.Lock()
		owner, _ := a.chooseOwner(fmt.Sprint("north ", testHost, "/rollout/ ", testModel, n), homes.Regions{}, 4)
		a.mu.Unlock()
		if owner != "b" {
			continue
		}
		body, err := json.Marshal(batch.Spec{Model: fmt.Sprint(testModel, n), MinVersion: 1, Items: testItems(4)})
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		if _, err := a.Handle(t.Context(), &call.Request{
			ID: "job", Host: testHost, Method: http.MethodPost, Path: "/rollout/job", Target: "/rollout/job", Body: body,
			Key: testKey, Received: started, Timeout: 5 * time.Second,
		}); err != nil {
			t.Fatal(err)
		}
		w.eventually("a owns the job", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			e, ok := a.jobs["job"]
			return ok && e.record.Owner == "a" && e.owned != nil
		})
		if took := time.Since(started); took > time.Second {
			t.Errorf("the job was taken over after %s", took)
		}
		return
	}
}
