package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
)

// allRoutes removes every route of the test configuration.
var allRoutes = []string{"rollout", "quote", "bill", "chat", "score"}

// Guards against a 404 for an accepted job because the last route of its host was removed, at its owner and
// at another host.
func TestJobOutlivesTheRoutesOfItsHost(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	items := testItems(6)
	w.mustSubmit(a, "job-1", items...)
	w.checkExactlyOnce(w.readAll(a, "job-1"), items)
	w.putConfig(a, testSettings{Version: 2, Gone: allRoutes})
	b := w.start("b")
	request := call.BatchRequest{ID: "job-1", Host: testHost + ":443", Key: testKey, Item: items[0].ID}
	gateways := map[string]*Gateway{"the owner": a, "another host": b}
	for name, g := range gateways {
		if page, err := g.Results(t.Context(), request); err != nil || len(page.Results) != len(items) {
			t.Errorf("%s returns %d results of %d, %v", name, len(page.Results), len(items), err)
		}
		if _, err := g.ItemBody(t.Context(), request); err != nil {
			t.Errorf("%s does not return the body of an item: %v", name, err)
		}
	}
	for name, g := range gateways {
		if err := g.EndBatch(t.Context(), request); err != nil {
			t.Errorf("%s does not end the job: %v", name, err)
		}
	}
}

// Guards against a job that answers under a host which is neither its own nor that of a route, and against one that any
// key opens once its routes are gone.
func TestJobOfARemovedRouteStaysPrivate(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	w.mustSubmit(a, "job-1", testItems(2)...)
	w.putConfig(a, testSettings{Version: 2, Gone: allRoutes})
	for _, c := range []struct {
		request call.BatchRequest
		status  int
	}{
		{call.BatchRequest{ID: "job-1", Host: "other.example", Key: testKey}, http.StatusNotFound},
		{call.BatchRequest{ID: "job-2", Host: testHost, Key: testKey}, http.StatusNotFound},
		{call.BatchRequest{ID: "job-1", Host: testHost, Key: "unknown"}, http.StatusUnauthorized},
	} {
		_, err := a.Results(t.Context(), c.request)
		if o, ok := outcome.AsRefusal(err); !ok || o.Status != c.status {
			t.Errorf("%+v: %v, want status %d", c.request, err, c.status)
		}
	}
}

// Guards against items that are neither run nor listed after their lifetime, because their route was removed.
func TestItemsWithoutARouteEndWithTheirLifetime(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	w.putConfig(a, testSettings{Version: 2, Gone: []string{"rollout"}})
	a.mu.Lock()
	accepted := a.storeClock()
	a.mu.Unlock()
	items := testItems(3)
	w.putStoredJob("job-1", batch.Record{
		Host: testHost, PathPrefix: "/rollout/", Workspace: "north", Model: testModel, AcceptedAt: accepted,
		Lifetime: time.Second, Total: len(items), Chunks: 1, ConfigVersion: 1, MaxAttempts: 3,
		Owner: "a", OwnerIncarnation: a.opts.Incarnation,
	}, items)
	results := w.readAll(a, "job-1")
	w.checkExactlyOnce(results, items)
	a.mu.Lock()
	took := a.storeClock() - accepted
	a.mu.Unlock()
	if took < time.Second {
		t.Errorf("the items ended after %s, before their lifetime of 1 s", took)
	}
	for _, r := range results {
		if r.State != batch.Abandoned {
			t.Errorf("%s has state %v", r.ID, r.State)
		}
	}
}
