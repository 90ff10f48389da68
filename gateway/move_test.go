package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against long texts that stay at a slow engine while another one is idle, and against texts that move more than
// once between two engines.
func TestLongTextsLeaveSlowEngineOnce(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 8, map[string]int64{testModel: 1})
	g := w.start("a")
	var mu sync.Mutex
	atSlow, moved, back := map[string]bool{}, 0, 0
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		pace := 20 * time.Millisecond
		if r.Upstream.ID == "e1" {
			pace = 200 * time.Millisecond
			atSlow[r.ID] = true
		}
		switch {
		case r.ResumeAfter > 0 && r.Upstream.ID == "e2":
			moved++
		case r.ResumeAfter > 0:
			back++
		}
		response := signed(200, "")
		response.Version = 1
		response.Body = &pacedReader{pace: pace, pieces: eventLines(40)[r.ResumeAfter:], closed: make(chan struct{})}
		return response, nil
	})
	items := testItems(6)
	for i := range items {
		items[i].LengthHint = 2000
	}
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	mu.Lock()
	defer mu.Unlock()
	if len(atSlow) == 0 || moved != len(atSlow) || back > 0 {
		t.Errorf("%d texts began at the slow engine, %d moved to the other one, %d came back", len(atSlow), moved, back)
	}
}
