package usagestore

import (
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against usage that is lost or counted twice, and against a window reported twice with different totals, when
// the agent or the entry dies, flushes are repeated or late, replies are lost, or the holder is replaced during a step.
func TestTotalsAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkTotals(rt, newHarness(), nil) })
}

// checkTotals runs random actions, those in extra included, and checks what is reported in the end.
func checkTotals(rt *rapid.T, w *harness, extra map[string]func(*rapid.T)) {
	agentDies := rapid.Bool().Draw(rt, "the agent may die, otherwise the entry")
	actions := map[string]func(*rapid.T){
		"request": func(rt *rapid.T) {
			w.request(rapid.SampledFrom([]string{"north", "south/1"}).Draw(rt, "workspace"), rapid.Int64Range(1, 9).Draw(rt, "tokens"))
		},
		"flush":     func(*rapid.T) { _ = w.agentFlusher.Flush(w.ctx) },
		"recover":   func(*rapid.T) { _ = w.entryFlusher.Flush(w.ctx) },
		"heartbeat": func(*rapid.T) { w.retainer.Flushed("agent/1", w.incarnationName(), w.recorder.FlushedSeq()) },
		"time": func(rt *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(rt, "seconds")) * time.Second)
		},
		"step": func(*rapid.T) { _ = w.reporter.Step(w.ctx) },
		"old holder": func(*rapid.T) {
			if w.previous != nil {
				_ = w.previous.Step(w.ctx)
			}
		},
		"holder replaced in a step": func(rt *rapid.T) {
			w.interceptor.callsBeforeHook = rapid.IntRange(0, 4).Draw(rt, "at")
			w.interceptor.hook = func() {
				w.takeOver()
				_ = w.agentFlusher.Flush(w.ctx)
				_ = w.reporter.Step(w.ctx)
			}
			_ = w.reporter.Step(w.ctx)
			w.interceptor.hook = nil
		},
		"delayed commits": func(rt *rapid.T) { w.interceptor.delayCount = rapid.IntRange(1, 2).Draw(rt, "commits") },
		"commits arrive":  func(*rapid.T) { w.interceptor.deliverDelayed(w.ctx) },
		"death": func(*rapid.T) {
			if !agentDies {
				w.startEntry()
				return
			}
			w.retainer.Dead("agent/1", w.incarnationName())
			w.startAgent()
		},
		"declared dead too early": func(*rapid.T) { w.retainer.Dead("agent/1", w.incarnationName()) },
		"faults": func(rt *rapid.T) {
			w.platform.Table.Faults.Set(drawFaults(rt))
			w.platform.Usage.Faults.Set(drawFaults(rt))
		},
	}
	maps.Copy(actions, extra)
	rt.Repeat(actions)
	if err := w.reportAll(); err != nil {
		rt.Fatal(err)
	}
	totals, err := w.totals()
	if err != nil {
		rt.Fatal(err)
	}
	if diff := cmp.Diff(w.expected, totals); diff != "" {
		rt.Fatalf("reported totals differ from the requests that ran (-ran +reported):\n%s", diff)
	}
	rows, err := w.platform.Table.Scan(w.ctx, batchPrefix, "", memory.MaxScanRows)
	if err != nil || len(rows) != 0 {
		rt.Fatalf("%d batch rows left, %v", len(rows), err)
	}
}

func drawFaults(t *rapid.T) memory.Faults {
	return memory.Faults{
		Outage: rapid.Bool().Draw(t, "outage"), LoseReplies: rapid.IntRange(0, 3).Draw(t, "lost replies"),
	}
}
