package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// silentOperatorWatch is the store for a process whose watch of the operator's table goes silent while others go on.
type silentOperatorWatch struct {
	hosting.Rows
	silent atomic.Bool
}

func (s *silentOperatorWatch) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	for table == (testCodec{}).OperatorTable() && s.silent.Load() {
		if sleep(ctx, 5*time.Millisecond); ctx.Err() != nil {
			return hosting.RowChanges{}, ctx.Err()
		}
	}
	return s.Rows.Changes(ctx, table, after, min(wait, 50*time.Millisecond))
}

// runLateJob runs a job with one item on a route that its owner learns of only after it owns the job, and returns the
// result and the number of runs.
func runLateJob(t *testing.T, respond func(run int) *upstreamcall.Response) (batch.Result, int) {
	t.Helper()
	w := newTestCluster(t)
	a := w.start("a")
	watch := &silentOperatorWatch{Rows: w.store}
	b := w.startWithRows("b", 0.8, watch)
	watch.silent.Store(true)
	time.Sleep(100 * time.Millisecond) // the read in progress ends
	w.store.Put("operators", "config", testConfig(lateVersion))
	w.eventually("a knows the route", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.config.Version == lateVersion
	})
	var mu sync.Mutex
	runs, ownedByB := 0, false
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		if !ownedByB {
			return nil, notRun(upstreamcall.Busy)
		}
		runs++
		return respond(runs), nil
	})
	if r, err := w.submitTo(a, "/late/", "job-1", batch.Item{ID: "item", Path: "/late/x", Group: "g"}); err != nil || r.Status != http.StatusAccepted {
		t.Fatalf("%+v, %v", r, err)
	}
	w.kill("a")
	w.eventually("b owns the job", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		e := b.jobs["job-1"]
		return e != nil && e.owned != nil
	})
	mu.Lock()
	ownedByB = true
	mu.Unlock()
	watch.silent.Store(false)
	results := w.readAll(b, "job-1")
	mu.Lock()
	defer mu.Unlock()
	return results[0], runs
}

// Guards against an item that is abandoned after fewer failures than its route allows, because its owner did not know
// the route when it began to own the job.
func TestLateRouteSetsTheFailureLimit(t *testing.T) {
	result, runs := runLateJob(t, func(int) *upstreamcall.Response { return signed(http.StatusInternalServerError, "") })
	if result.State != batch.Abandoned || runs != 5 {
		t.Errorf("%s after %d failures, want abandoned after 5", result.State, runs)
	}
}

// Guards against a text of two weight versions on a route that allows one, for the same reason.
func TestLateRouteKeepsTextsToOneVersion(t *testing.T) {
	result, _ := runLateJob(t, func(run int) *upstreamcall.Response {
		if run == 1 {
			return stream(1, 2, false)
		}
		a := stream(1, 3, true)
		if run == 2 {
			a = stream(3, 3, true)
		}
		a.Version = 2
		return a
	})
	if result.State != batch.Succeeded || len(result.Versions) != 1 || result.Output != "event 1\nevent 2\nevent 3" {
		t.Errorf("%s with versions %v and output %q", result.State, result.Versions, result.Output)
	}
}

// Guards against limits that are wrong in any order of configuration, route and record.
func TestJobLimits(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	config := func(version int64) {
		c, err := testCodec{}.DecodeConfig(testConfig(version))
		if err != nil {
			t.Fatal(err)
		}
		g.config = c
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range []struct {
		name     string
		known    int64
		record   batch.Record
		failures int
		single   bool
	}{
		{"the route is known", lateVersion, batch.Record{PathPrefix: "/late/", ConfigVersion: lateVersion, MaxAttempts: 4}, 5, true},
		{"the configuration is older than the job", 1, batch.Record{PathPrefix: "/rollout/", ConfigVersion: 2, MaxAttempts: 4, SingleVersion: true}, 4, true},
		{"the route is not known", 1, batch.Record{PathPrefix: "/late/", ConfigVersion: lateVersion, MaxAttempts: 4}, 4, false},
		{"the route was removed", 1, batch.Record{PathPrefix: "/late/", MaxAttempts: 4, SingleVersion: true}, 4, true},
		{"the limit was lifted", 1, batch.Record{PathPrefix: "/rollout/", MaxAttempts: 4, SingleVersion: true}, 3, true},
		{"a record of an earlier release", 1, batch.Record{PathPrefix: "/rollout/"}, 3, false},
		{"a record of an earlier release without its route", 1, batch.Record{PathPrefix: "/late/"}, noFailureLimit, true},
	} {
		config(c.known)
		c.record.Host = testHost
		if failures, single := g.jobLimits(&c.record); failures != c.failures || single != c.single {
			t.Errorf("%s: %d failures and single version %t, want %d and %t", c.name, failures, single, c.failures, c.single)
		}
	}
}
