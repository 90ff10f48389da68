package gateway

import (
	"net/http"
	"testing"

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
	for name, g := range map[string]*Gateway{"the owner": a, "another host": b} {
		request := call.BatchRequest{ID: "job-1", Host: testHost + ":443", Key: testKey}
		if page, err := g.Results(t.Context(), request); err != nil || len(page.Results) != len(items) {
			t.Errorf("%s returns %d results of %d, %v", name, len(page.Results), len(items), err)
		}
		request.Item = items[0].ID
		if _, err := g.ItemBody(t.Context(), request); err != nil {
			t.Errorf("%s does not return the body of an item: %v", name, err)
		}
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
