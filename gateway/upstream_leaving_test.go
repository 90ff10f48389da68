package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// Guards against new requests, items and score calls at an upstream that announced in a response that it is leaving,
// while its entry still says ready, expires or is written again. The next incarnation of the upstream must be used
// again.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	w.eventually("the host knows all upstreams", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.upstreams.Ready(plainService)) == 2 && len(g.upstreams.Ready(engineService)) == 2
	})
	toLeaving := func(r upstreamcall.Request) bool { return r.Upstream.ID == "p1" || r.Upstream.ID == "e1" }
	for _, id := range []string{"p1", "e1"} {
		g.UpstreamAnnounced(upstreams.Entry{ID: id}, upstreamcall.Announcement{Leaving: true})
	}
	for n := range 10 {
		if _, err := w.requestWithBody(t.Context(), g, "/quote/1", fmt.Sprint(n)); err != nil {
			t.Errorf("request %d: %v", n, err)
		}
		switch n {
		case 3: // a heartbeat
			w.addUpstream("p1", plainService, 4, nil)
		case 6: // the entry expires and is written again
			w.store.Delete("upstreams", "p1")
			sleep(t.Context(), 150*time.Millisecond)
			w.addUpstream("p1", plainService, 4, nil)
		}
		sleep(t.Context(), 30*time.Millisecond)
	}
	items := testItems(8)
	w.mustSubmit(g, "job", items...)
	w.checkExactlyOnce(w.readAll(g, "job"), items)
	if n := w.upstreams.requests(toLeaving); n != 0 {
		t.Errorf("%d requests reached upstreams that are leaving", n)
	}
	w.store.Put("upstreams", "p1", []byte(`{"ID":"p1","Born":7,"Service":"desk","Address":"p1","Slots":4,"State":"ready"}`))
	w.store.Delete("upstreams", "p2")
	w.eventually("the next incarnation is used", func() bool {
		_, err := w.requestWithBody(t.Context(), g, "/quote/1", "again")
		return err == nil && w.upstreams.requests(toLeaving) > 0
	})
}
