package gateway

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreams"
)

// addColdUpstream adds an upstream of the plain service that has just started.
func (w *testCluster) addColdUpstream(id string, coldFor time.Duration) {
	value, err := json.Marshal(upstreams.Entry{
		ID: id, Service: plainService, Address: id, DataCentre: "north-1", Slots: 32, State: upstreams.Ready, ColdFor: coldFor,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("upstreams", id, value)
}

// Guards against hosts that together send an upstream that has just started more than it takes in a second, against one
// that gets nothing while it is cold, and against refusals of requests that may have run.
func TestHostsTogetherKeepTheBoundOfAColdUpstream(t *testing.T) {
	w := newTestCluster(t)
	const takes, coldTime = 8.0, 4 * time.Second
	var hosts sync.WaitGroup
	for host, perSecond := range map[string]int{"a": 40, "b": 15, "c": 5} {
		g := w.start(host)
		g.mu.Lock()
		g.config.Services[plainService].ColdRequests = takes
		g.mu.Unlock()
		hosts.Go(func() {
			for _, err := range w.sendQuotes(g, perSecond, settledAfter+coldTime) {
				if asRefusal(t, err).Outcome != outcome.NotRun {
					t.Errorf("host %s: %v", host, err)
				}
			}
		})
	}
	time.Sleep(settledAfter)
	from := time.Now()
	w.addColdUpstream("p2", coldTime)
	w.store.Delete("upstreams", "p1")
	hosts.Wait()
	if n := w.upstreams.mostSends("p2", from, time.Second); float64(n) > takes {
		t.Errorf("p2 takes %v requests a second while it is cold and got %d", takes, n)
	}
	if n := w.upstreams.sendsTo("p2", from, time.Now()); float64(n) < 0.25*takes*coldTime.Seconds() {
		t.Errorf("p2 got %d requests in %s, want some", n, coldTime)
	}
}

// settledAfter is when hosts that started together share the bounds of cold upstreams.
const settledAfter = 3 * time.Second

// Guards against a host that sends an upstream that it could not reach its usual load when that is back, before its entry
// tells that it is cold.
func TestUnreachableUpstreamCountsAsCold(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Services[plainService].ColdRequests = closedLimit
	u, _ := g.upstreams.Get("p1")
	if !g.hasRoom(u, false, time.Now()) {
		t.Fatal("no room at an upstream that is not cold")
	}
	g.observeUnreachable(u)
	if !g.hasLimits(plainService, time.Now()) || g.hasRoom(u, false, time.Now()) {
		t.Error("an upstream that could not be reached does not count as cold")
	}
}
