package gateway

import (
	"testing"
	"time"
)

// Guards against an engine that gets no order any more because its last request at the holder of the duties failed, and no
// text that could show that it has recovered because its version is too old.
func TestFailedEngineIsOrderedAgain(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 3})
	g := w.start("a")
	w.eventually("the duties are held", func() bool {
		_, ok := g.mayAct()
		return ok
	})
	g.mu.Lock()
	g.healthOf("e1").RecordFailure(time.Now())
	g.mu.Unlock()
	before := time.Now()
	w.store.Put("operators", "version/"+testModel, []byte(`{"Model":"fares","Version":3}`))
	w.eventually("an order reaches the engine with old weights", func() bool {
		return w.upstreams.sendsTo("e1", before, time.Now()) > 0 && w.upstreams.orderCount() > 0
	})
}
