package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Guards against new requests, items and score calls at an upstream that said in an answer that it leaves, while its entry
// still calls it ready, lapses and comes back; and against one that is never used again after a restart.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	w.eventually("the host knows all", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.upstreams.Ready(plainService)) == 2 && len(g.upstreams.Ready(engineService)) == 2
	})
	left := func(r upstreamcall.Request) bool { return r.Upstream.ID == "p1" || r.Upstream.ID == "e1" }
	for _, id := range []string{"p1", "e1"} {
		g.UpstreamLeaving(upstreams.Entry{ID: id})
	}
	for n := range 10 {
		if _, err := w.requestWithBody(t.Context(), g, "/quote/1", fmt.Sprint(n)); err != nil {
			t.Errorf("request %d: %v", n, err)
		}
		switch n {
		case 3: // a heartbeat
			w.addUpstream("p1", plainService, 4, nil)
		case 6: // the entry lapses and comes back
			w.store.Delete("upstreams", "p1")
			sleep(t.Context(), 150*time.Millisecond)
			w.addUpstream("p1", plainService, 4, nil)
		}
		sleep(t.Context(), 30*time.Millisecond)
	}
	items := testItems(8)
	w.mustSubmit(g, "job", items...)
	w.checkExactlyOnce(w.readAll(g, "job"), items)
	if n := w.upstreams.requests(left); n != 0 {
		t.Errorf("%d requests reached upstreams that leave", n)
	}
	w.store.Put("upstreams", "p1", []byte(`{"ID":"p1","Born":7,"Service":"desk","Address":"p1","Slots":4,"State":"ready"}`))
	w.store.Delete("upstreams", "p2")
	w.eventually("the next incarnation is used", func() bool {
		_, err := w.requestWithBody(t.Context(), g, "/quote/1", "again")
		return err == nil && w.upstreams.requests(left) > 0
	})
}
