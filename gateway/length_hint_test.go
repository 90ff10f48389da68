package gateway

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against texts that wait while engines have free slots, because each of them is expected to become as long as its
// item allows.
func TestItemsWithoutLengthHintUseAllSlots(t *testing.T) {
	w := newTestCluster(t) // its engine has four slots
	w.upstreams.memoryTokens = 46_000
	g := w.start("a")
	step := func(id string, n int) {
		items := testItems(n)
		for i := range items {
			items[i].PromptTokens, items[i].Tokens = 300, 24_300
		}
		w.mustSubmit(g, id, items...)
	}
	step("job-0", 4)
	w.readAll(g, "job-0") // the memory of the engine is known now
	w.upstreams.mu.Lock()
	w.upstreams.hangs = func(*upstreamcall.Request) bool { return true }
	w.upstreams.mu.Unlock()
	step("job-1", 8)
	inUse := func() (requests int, heldBack map[holdReason]int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.inFlight["e1"], g.itemsHeldBack
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if requests, heldBack := inUse(); requests == 4 && heldBack[heldBySlots] == 4 {
			return
		}
	}
	requests, heldBack := inUse()
	t.Errorf("%d slots of 4 are in use; items are held back by %v", requests, heldBack)
}
