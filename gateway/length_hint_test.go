package gateway

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against texts that wait while engines have free slots, because each of them is expected to become as long as its
// item allows, or because their events are taken for many tokens each although no trainer has said so.
func TestItemsWithoutLengthHintUseAllSlots(t *testing.T) {
	for name, events := range map[string]int{"short texts": 3, "texts of one token an event": 1000} {
		t.Run(name, func(t *testing.T) { checkSlotUseWithoutHints(t, events) })
	}
}

// checkSlotUseWithoutHints runs a step whose texts have a number of events, and checks that the next one uses every slot.
func checkSlotUseWithoutHints(t *testing.T, events int) {
	w := newTestCluster(t) // its engine has four slots
	w.upstreams.memoryTokens = 46_000
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Response, error) { return stream(1, events, true), nil })
	g := w.start("a")
	step := func(id string, n int) {
		items := testItems(n)
		for i := range items {
			items[i].ID = id + items[i].ID
			items[i].PromptTokens, items[i].Tokens = 300, 24_300
		}
		w.mustSubmit(g, id, items...)
	}
	step("job-0", 24)
	w.readAll(g, "job-0") // the memory of the engine and the usual length are known now
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
		if requests, heldBack := inUse(); requests == 4 && heldBack[heldByEngines] == 4 {
			return
		}
	}
	requests, heldBack := inUse()
	t.Errorf("%d slots of 4 are in use; items are held back by %v", requests, heldBack)
}
