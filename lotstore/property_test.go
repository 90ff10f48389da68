package lotstore

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// bubbleTB hides the deadline of the test, which rapid asks for and synctest forbids to ask.
type bubbleTB struct{ rapid.TB }

// Guards against a sample that reaches the trainer twice, not at all or stale, and against a number whose bytes change,
// under crashes, lost replies, repeated pulls, two entries with the same group and a step that advances.
func TestHandOverExactlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			w := newWorld(rt)
			rt.Repeat(map[string]func(*rapid.T){
				"add": func(rt *rapid.T) {
					id := fmt.Sprintf("g%d", rapid.IntRange(0, len(w.sizes)).Draw(rt, "group"))
					w.add(entryOf(rt), id, max(1, w.step-rapid.Int64Range(0, 3).Draw(rt, "age")))
				},
				"pull": func(rt *rapid.T) { w.pull(entryOf(rt), rapid.Bool().Draw(rt, "lost")) },
				"interleaved pull": func(rt *rapid.T) {
					i := entryOf(rt)
					w.table.skip = rapid.IntRange(0, 2).Draw(rt, "at")
					lost := rapid.Bool().Draw(rt, "lost")
					w.table.then = func() {
						w.pull(1-i, lost)
						w.step++
						w.pull(1-i, lost)
					}
					w.pull(i, true)
					w.table.then = nil
				},
				"delayed commits": func(rt *rapid.T) { w.table.delay = rapid.IntRange(1, 2).Draw(rt, "commits") },
				"commits arrive":  func(*rapid.T) { w.table.deliver(context.Background()) },
				"step":            func(*rapid.T) { w.step++ },
				"restart":         func(rt *rapid.T) { w.restart(entryOf(rt)) },
				"retry": func(rt *rapid.T) {
					i := entryOf(rt)
					w.entries[i].Retry(w.ctx[i])
					synctest.Wait()
				},
				"clean": func(rt *rapid.T) {
					i := entryOf(rt)
					_ = w.entries[i].Clean(w.ctx[i], testTrainer)
				},
				"faults": func(rt *rapid.T) {
					service := rapid.SampledFrom([]memory.Service{memory.ServiceTable, memory.ServiceObjects}).Draw(rt, "service")
					faults, _ := w.platform.FaultInjector(service)
					faults.Set(memory.Faults{
						Outage:      rapid.Bool().Draw(rt, "outage"),
						LoseReplies: rapid.IntRange(0, 3).Draw(rt, "lost replies"),
					})
				},
				"time": func(*rapid.T) { time.Sleep(time.Second) },
			})
			w.heal()
			for w.pull(0, false) {
			}
			w.account(rt)
			w.cancel[0]()
			w.cancel[1]()
			synctest.Wait()
		})
	})
}

func entryOf(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "entry") }

// account checks that each sample of an acknowledged group is in exactly one place.
func (w *world) account(t *rapid.T) {
	places := map[string][]string{}
	note := func(r lots.Ready, place string) {
		for i := range r.Samples {
			id := fmt.Sprintf("%s/%d", r.Group, i)
			places[id] = append(places[id], place)
		}
	}
	swept := w.scanLots(t, note)
	w.scan(t, trainerPrefix(testTrainer)+"discard/", func(value []byte) {
		var row discardRow
		decode(t, value, &row)
		for _, g := range row.Groups {
			if g.Reason == "" {
				t.Fatalf("group %s discarded without a reason", g.Group)
			}
			note(g.Ready, "discarded")
		}
	})
	w.scan(t, readyPrefix(testTrainer), func(value []byte) {
		var r lots.Ready
		decode(t, value, &r)
		if !swept[r.Key] {
			note(r, "ready")
		}
	})
	w.accountHead(t, places)
	for group := range w.acked {
		for i := range w.sizes[group] {
			id := fmt.Sprintf("%s/%d", group, i)
			if len(places[id]) != 1 {
				t.Fatalf("sample %s is in places %v", id, places[id])
			}
			if (places[id][0] == "delivered") != w.seen[id] {
				t.Fatalf("sample %s: place %v, seen by the trainer %v", id, places[id], w.seen[id])
			}
		}
	}
	for id := range w.seen {
		if len(places[id]) != 1 || places[id][0] != "delivered" {
			t.Fatalf("sample %s was delivered and is in places %v", id, places[id])
		}
	}
}

// accountHead checks the totals that operators see.
func (w *world) accountHead(t *rapid.T, places map[string][]string) {
	count := map[string]int64{}
	for _, place := range places {
		count[place[0]]++
	}
	status, err := w.entries[0].Status(t.Context(), testTrainer)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int64{
		"delivered": status.Delivered, "void": status.Discards[samples.ReasonVoidLot],
		"discarded": status.Discards[samples.ReasonStale], "ready": int64(status.ReadySamples),
	}
	for place, n := range got {
		if count[place] != n {
			t.Fatalf("status counts %v, rows hold %v", got, count)
		}
	}
}

// scanLots notes the groups of all lots and returns the ready keys that they have used.
func (w *world) scanLots(t *rapid.T, note func(lots.Ready, string)) map[string]bool {
	used := map[string]bool{}
	w.scan(t, trainerPrefix(testTrainer)+"lot/", func(value []byte) {
		var lot lots.Lot
		decode(t, value, &lot)
		place := "delivered"
		if lot.Void {
			place = "void"
		}
		if lot.Void != w.void[lot.Number] {
			t.Fatalf("lot %d: void %v, trainer told %v", lot.Number, lot.Void, w.void[lot.Number])
		}
		for _, g := range lot.Groups {
			note(g, place)
			used[g.Key] = true
		}
	})
	return used
}

func (w *world) scan(t *rapid.T, prefix string, each func(value []byte)) {
	rows, err := w.platform.Table.Scan(t.Context(), prefix, "", memory.MaxScanRows)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		each(row.Value)
	}
}

func decode(t *rapid.T, value []byte, into any) {
	if err := json.Unmarshal(value, into); err != nil {
		t.Fatal(err)
	}
}
