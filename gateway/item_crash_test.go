package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against an item that is held back as a crash suspect after the crashes have stopped, because several engines
// ended while they ran it. Something else ended them, and the item still has to be completed. The engines restart
// under other names, or under the same name as another incarnation.
func TestItemSucceedsAfterFiveCrashes(t *testing.T) {
	const crashes, restartDelay = 5, 200 * time.Millisecond
	for _, c := range []struct {
		name    string
		renamed bool
		events  int
	}{{"before the first event", true, 0}, {"in the middle of the text", true, 1}, {"under the same name", false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			for i := range 2 {
				w.addUpstream(fmt.Sprint("e", i+2), engineService, 4, map[string]int64{testModel: 1})
			}
			g := w.start("a")
			items := testItems(8)
			var mu sync.Mutex
			ended := map[string]bool{}
			var lastCrash time.Time
			w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
				mu.Lock()
				defer mu.Unlock()
				id := r.Upstream.ID
				if r.Upstream.Service == engineService && ended[id] {
					return nil, notRun(upstreamcall.NoListener)
				}
				if r.ID != items[0].ID || !lastCrash.IsZero() {
					return nil, nil
				}
				ended[id] = true
				w.upstreams.endUpstream(id)
				w.store.Delete("upstreams", id)
				next := id
				if c.renamed {
					next = fmt.Sprint("e", 10+len(ended))
				}
				if len(ended) == crashes || !c.renamed && w.upstreams.requests(func(o upstreamcall.Request) bool { return o.ID == r.ID }) == crashes {
					lastCrash = time.Now()
				}
				time.AfterFunc(restartDelay, func() {
					mu.Lock()
					delete(ended, next)
					mu.Unlock()
					w.addUpstream(next, engineService, 4, map[string]int64{testModel: 1})
				})
				if c.events > 0 {
					return stream(r.ResumeAfter+1, r.ResumeAfter+c.events, false), nil
				}
				return nil, mayHaveRun(upstreamcall.Broken)
			})
			w.mustSubmit(g, "job", items...)
			results := w.readAll(g, "job")
			w.checkExactlyOnce(results, items)
			for _, r := range results {
				if r.State != batch.Succeeded {
					t.Errorf("item %s is %s", r.ID, r.State)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			// A late training step counts as lost if one of its items has not been at an engine for 5 s without a
			// crash.
			if waited := time.Since(lastCrash); waited > 5*time.Second {
				t.Errorf("the last item was listed %s after the last crash", waited)
			}
		})
	}
}
