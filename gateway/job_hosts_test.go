package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/presence"
)

// contentReads counts the reads of jobs' content by a host.
type contentReads struct {
	hosting.Rows
	reads atomic.Int64
}

func (c *contentReads) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	if r.Table == contentTable {
		c.reads.Add(1)
	}
	return c.Rows.Range(ctx, r)
}

// waitForPeers waits until the gateways see each other's heartbeats.
func (w *testCluster) waitForPeers(list ...*Gateway) {
	w.t.Helper()
	for _, g := range list {
		w.eventually("the hosts see each other's heartbeats", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.peers.SeenWithin(maxOwnerHeartbeatAge)) == len(list) && g.isPeerViewCurrent(time.Now())
		})
	}
}

// owner returns the owner of a job as a gateway knows it.
func owner(g *Gateway, job string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.jobs[job]; ok {
		return e.record.Owner
	}
	return ""
}

var southJobs = testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"south"}}}

// Guards against a job that is given to a host outside of its homes, and against one that stays at its acceptor although
// hosts at home could run it.
func TestJobGoesToAHostAtHome(t *testing.T) {
	w := newHomesCluster(t, southJobs)
	west := &contentReads{Rows: w.store}
	a, b, c := w.startIn("north-1", "a", 0.01, w.store), w.startIn("south-1", "b", 0.8, w.store), w.startIn("west-1", "c", 0.8, west)
	w.waitForPeers(a, b, c)
	for i := range 6 {
		id := fmt.Sprint("job-", i)
		w.mustSubmit(a, id, testItems(4)...)
		w.readAll(a, id)
		if got := owner(a, id); got != "b" {
			t.Errorf("%s is at %s, want b", id, got)
		}
	}
	if n := west.reads.Load(); n > 0 {
		t.Errorf("a host outside of the homes read the content of jobs %d times", n)
	}
}

// Guards against a job that is taken over after a crash by a host outside of its homes, and against one that is lost once a
// host at home is back.
func TestOrphanWaitsForAHostAtHome(t *testing.T) {
	w := newHomesCluster(t, southJobs)
	north := &contentReads{Rows: w.store}
	b := w.startIn("south-1", "b", 0.8, w.store)
	a := w.startIn("north-1", "a", 0.8, north)
	w.waitForPeers(a, b)
	w.upstreams.script(respondAfter(time.Second))
	items := testItems(12)
	w.mustSubmit(b, "job-1", items...)
	w.kill("b")
	w.eventually("the job waits for a host at home", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.strandedJobs == 1
	})
	time.Sleep(3 * adoptRankDelay)
	if n := north.reads.Load(); n > 0 || owner(a, "job-1") == "a" {
		t.Errorf("the content was read %d times outside of the homes; the owner is %s", n, owner(a, "job-1"))
	}
	w.upstreams.script(nil)
	c := w.startIn("south-1", "c", 0.8, w.store)
	w.checkExactlyOnce(w.readAll(c, "job-1"), items)
	if n := north.reads.Load(); n > 0 {
		t.Errorf("the content was read %d times outside of the homes", n)
	}
}

// Guards against successors that wait for the turns of hosts that must not take the job over.
func TestAdoptionRanksHostsAtHomeOnly(t *testing.T) {
	w := newHomesCluster(t, southJobs)
	g := w.startIn("south-1", "b", 0.8, w.store)
	g.mu.Lock()
	defer g.mu.Unlock()
	live := []presence.Heartbeat{{Host: "b", Region: "south"}}
	for i := range 50 {
		live = append(live, presence.Heartbeat{Host: fmt.Sprint("n", i), Region: "north"})
	}
	e := &jobEntry{id: "job", record: batch.Record{Host: testHost, PathPrefix: "/rollout/", Owner: "gone", ConfigVersion: 2}}
	if delay := g.adoptDelay(e, live); delay != 0 {
		t.Errorf("the only host at home waits for %s", delay)
	}
	e.record.AcceptedIn = "north" // its caller handed it to a host there
	if !g.hasSuccessor(e, live) {
		t.Error("no host in the region of the acceptor may go on with the job")
	}
}

// Guards against a host that runs a job which others assigned to it by an older configuration, and against one that never
// gives it up.
func TestJobAssignedOutsideOfItsHomesIsPassedOn(t *testing.T) {
	w := newHomesCluster(t, southJobs)
	north := &contentReads{Rows: w.store}
	a := w.startIn("north-1", "a", 0.8, north)
	b := w.startIn("south-1", "b", 0.8, w.store)
	w.waitForPeers(a, b)
	items := testItems(3)
	w.putStoredJob("job-1", batch.Record{
		Host: testHost, PathPrefix: "/rollout/", Workspace: "north", Model: testModel, MinVersion: 1, Total: 3, Chunks: 1,
		Lifetime: 20 * time.Second, Owner: "a", OwnerIncarnation: a.opts.Incarnation, AcceptedIn: "west",
	}, items)
	w.checkExactlyOnce(w.readAll(b, "job-1"), items)
	if n := north.reads.Load(); n > 0 || owner(b, "job-1") != "b" {
		t.Errorf("the content was read %d times outside of the homes; the owner is %s", n, owner(b, "job-1"))
	}
}

// putStoredJob stores a job as an acceptor does.
func (w *testCluster) putStoredJob(id string, record batch.Record, items []batch.Item) {
	w.t.Helper()
	var txn hosting.RowTxn
	for key, value := range map[hosting.RowKey]any{
		chunkKey(id, 0): batch.Spec{ID: id, Model: testModel, MinVersion: 1, Items: items}, jobKey(jobTable, id): record,
	} {
		data, err := json.Marshal(value)
		if err != nil {
			w.t.Fatal(err)
		}
		txn.Puts = append(txn.Puts, hosting.StoredRow{RowKey: key, Value: data})
	}
	if _, err := w.store.Commit(w.t.Context(), txn); err != nil {
		w.t.Fatal(err)
	}
}

// Guards against a job that stays at a host which a newer configuration no longer allows, and against items that are lost or
// run twice when it leaves.
func TestJobLeavesItsHostWhenItsHomesChange(t *testing.T) {
	w := newHomesCluster(t, southJobs)
	a, b, c := w.startIn("north-1", "a", 0.8, w.store), w.startIn("south-1", "b", 0.8, w.store), w.startIn("west-1", "c", 0.8, w.store)
	w.addUpstreamIn("west-1", "e3", engineService, 4, map[string]int64{testModel: 1})
	w.waitForPeers(a, b, c)
	w.upstreams.script(respondAfter(150 * time.Millisecond))
	items := testItems(60)
	w.mustSubmit(a, "job-1", items...)
	w.eventually("results are listed", func() bool { return len(w.store.Table(resultTable)) > 4 })
	w.store.Put("operators", "config", testSettings{Version: 3, RouteHomes: map[string][]string{"rollout": {"west"}}}.row())
	w.checkExactlyOnce(w.readAll(a, "job-1"), items)
	if got := owner(a, "job-1"); got == "b" {
		t.Error("the job stays at a host outside of its new homes")
	}
}

// Guards against the content of a job that is read outside of its homes to delete it.
func TestExpiredContentIsDeletedUnread(t *testing.T) {
	w := newHomesCluster(t, southJobs)
	north := &contentReads{Rows: w.store}
	a := w.startIn("north-1", "a", 0.8, north)
	w.putStoredJob("job-1", batch.Record{Host: testHost, PathPrefix: "/rollout/", Ended: true, Total: 3, Chunks: 1}, testItems(3))
	w.eventually("the job is known", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.jobs["job-1"] != nil })
	if err := (&jobGC{g: a}).delete(t.Context(), "job-1"); err != nil {
		t.Fatal(err)
	}
	if rows := w.store.Table(contentTable); len(rows) > 0 || north.reads.Load() > 0 {
		t.Errorf("%d rows of the content are left; it was read %d times", len(rows), north.reads.Load())
	}
}

// Guards against a job that is accepted although no region of its homes has an upstream for it.
func TestJobWithoutUpstreamsAtHomeIsRefused(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"west"}, "quote": {"west"}, "chat": {"west"}}})
	a := w.start("a")
	_, err := w.submit(a, "job-1", testItems(2)...)
	checkRefusedForHomes(t, "job", err)
	for _, path := range []string{"/quote/1", "/chat/1"} {
		started := time.Now()
		_, err := w.request(a, t.Context(), path)
		checkRefusedForHomes(t, path, err)
		if took := time.Since(started); took > 500*time.Millisecond {
			t.Errorf("%s was refused after %s", path, took)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n := len(w.store.Table(jobTable)) + w.sentTo("e1") + w.sentTo("e2") + w.sentTo("p1"); n > 0 {
		t.Errorf("%d traces of refused work", n)
	}
	w.addUpstreamIn("west-1", "e3", engineService, 4, map[string]int64{testModel: 1})
	w.eventually("the job is accepted", func() bool {
		r, err := w.submit(a, "job-1", testItems(2)...)
		return err == nil && r.Status == http.StatusAccepted
	})
	w.readAll(a, "job-1")
	if _, err := a.ItemBody(t.Context(), call.BatchRequest{ID: "job-1", Host: testHost, Key: testKey, Item: "item-00"}); err != nil {
		t.Errorf("the caller is not served outside of the homes: %v", err)
	}
}

func checkRefusedForHomes(t *testing.T, what string, err error) {
	t.Helper()
	r := asRefusal(t, err)
	if r.Kind != outcome.KindNoHome || r.Outcome != outcome.NotRun || r.Status != http.StatusServiceUnavailable || r.RetryAfter <= 0 {
		t.Errorf("%s: %+v", what, r)
	}
}
