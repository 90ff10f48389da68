package lotstore

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// synctestTB hides the Deadline method of the test: rapid calls it, but synctest does not allow the call.
type synctestTB struct{ rapid.TB }

// Guards against samples that are lost or delivered twice or stale, and against lots whose content changes, under
// crashes, lost replies, repeated pulls, concurrent additions of the same group and an advancing step.
func TestExactlyOnceDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(synctestTB{t}, func(rt *rapid.T) { newModel(rt).checkDelivery(rt, nil) })
	})
}

// checkDelivery runs random actions, those in extra included, and checks where each sample is in the end.
func (m *model) checkDelivery(rt *rapid.T, extra map[string]func(*rapid.T)) {
	actions := map[string]func(*rapid.T){
		"add": func(rt *rapid.T) {
			id := fmt.Sprintf("g%d", rapid.IntRange(0, len(m.sizes)).Draw(rt, "group"))
			m.add(drawEntry(rt), id, max(1, m.step-rapid.Int64Range(0, 3).Draw(rt, "age")))
		},
		"pull": func(rt *rapid.T) { m.pull(drawEntry(rt), rapid.Bool().Draw(rt, "lost")) },
		"interleaved pull": func(rt *rapid.T) {
			i := drawEntry(rt)
			m.table.skipCommits = rapid.IntRange(0, 2).Draw(rt, "at")
			lost := rapid.Bool().Draw(rt, "lost")
			m.table.beforeCommit = func() {
				m.pull(1-i, lost)
				m.step++
				m.pull(1-i, lost)
			}
			m.pull(i, true)
			m.table.beforeCommit = nil
		},
		"delayed commits": func(rt *rapid.T) { m.table.lostReplies = rapid.IntRange(1, 2).Draw(rt, "commits") },
		"commits arrive":  func(*rapid.T) { m.table.deliver(context.Background()) },
		"step":            func(*rapid.T) { m.step++ },
		"restart":         func(rt *rapid.T) { m.restart(drawEntry(rt)) },
		"retry": func(rt *rapid.T) {
			i := drawEntry(rt)
			m.entries[i].Retry(m.ctx[i])
			synctest.Wait()
		},
		"clean": func(rt *rapid.T) {
			i := drawEntry(rt)
			_ = m.entries[i].Clean(m.ctx[i], testTrainer)
		},
		"faults": func(rt *rapid.T) {
			service := rapid.SampledFrom([]memory.Service{memory.ServiceTable, memory.ServiceObjects}).Draw(rt, "service")
			faults, _ := m.platform.FaultInjector(service)
			faults.Set(memory.Faults{
				Outage:      rapid.Bool().Draw(rt, "outage"),
				LoseReplies: rapid.IntRange(0, 3).Draw(rt, "lost replies"),
			})
		},
		"time": func(*rapid.T) { time.Sleep(time.Second) },
	}
	maps.Copy(actions, extra)
	rt.Repeat(actions)
	m.endFaults()
	for m.pull(0, false) {
	}
	m.checkEverySample(rt)
	m.cancel[0]()
	m.cancel[1]()
	synctest.Wait()
}

func drawEntry(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "entry") }

// checkEverySample checks that every sample of an acknowledged group is in exactly one place.
func (m *model) checkEverySample(t *rapid.T) {
	places := map[string][]string{}
	record := func(r lots.ReadyGroup, place string) {
		for i := range r.Samples {
			id := fmt.Sprintf("%s/%d", r.Group, i)
			places[id] = append(places[id], place)
		}
	}
	usedKeys := m.recordLots(t, record)
	m.scan(t, trainerPrefix(testTrainer)+"discard/", func(row hosting.Row) {
		var discarded discardRow
		decode(t, row.Value, &discarded)
		for _, g := range discarded.Groups {
			if g.Reason == "" {
				t.Fatalf("group %s is discarded without a reason", g.Group)
			}
			record(g.ReadyGroup, "discarded")
		}
	})
	unreadable := map[string]bool{}
	m.scan(t, readyPrefix(testTrainer), func(row hosting.Row) {
		if value, ok := m.unreadable[row.Key]; ok && value == string(row.Value) {
			unreadable[row.Key] = true
			return
		}
		var r lots.ReadyGroup
		decode(t, row.Value, &r)
		if !usedKeys[r.Key] {
			record(r, "ready")
		}
	})
	for _, key := range m.durable {
		if !unreadable[key] {
			t.Fatalf("the unreadable row %s was changed or deleted", key)
		}
	}
	m.checkStatus(t, places)
	for group := range m.acknowledged {
		for i := range m.sizes[group] {
			id := fmt.Sprintf("%s/%d", group, i)
			if len(places[id]) != 1 {
				t.Fatalf("sample %s is in places %v", id, places[id])
			}
			if (places[id][0] == "delivered") != m.seen[id] {
				t.Fatalf("sample %s: places %v, received by the trainer %v", id, places[id], m.seen[id])
			}
		}
	}
	for id := range m.seen {
		if len(places[id]) != 1 || places[id][0] != "delivered" {
			t.Fatalf("sample %s was received by the trainer but is in places %v", id, places[id])
		}
	}
}

// checkStatus compares the totals in Status with the stored rows.
func (m *model) checkStatus(t *rapid.T, places map[string][]string) {
	count := map[string]int64{}
	for _, place := range places {
		count[place[0]]++
	}
	status, err := m.entries[0].Status(t.Context(), testTrainer)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int64{
		"delivered": status.Delivered, "void": status.Discards[samples.ReasonVoidLot],
		"discarded": status.Discards[samples.ReasonStale], "ready": int64(status.ReadySamples),
	}
	for place, n := range got {
		if count[place] != n {
			t.Fatalf("status reports %v, rows contain %v", got, count)
		}
	}
}

// recordLots records the groups of all lots and returns the ready keys that they used.
func (m *model) recordLots(t *rapid.T, record func(lots.ReadyGroup, string)) map[string]bool {
	used := map[string]bool{}
	m.scan(t, trainerPrefix(testTrainer)+"lot/", func(row hosting.Row) {
		var lot lots.Lot
		decode(t, row.Value, &lot)
		place := "delivered"
		if lot.Void {
			place = "void"
		}
		if lot.Void != m.voidLots[lot.Number] {
			t.Fatalf("lot %d: void %v, reported void to the trainer %v", lot.Number, lot.Void, m.voidLots[lot.Number])
		}
		for _, g := range lot.Groups {
			record(g, place)
			used[g.Key] = true
		}
	})
	return used
}

func (m *model) scan(t *rapid.T, prefix string, each func(hosting.Row)) {
	rows, err := m.platform.Table.Scan(t.Context(), prefix, "", memory.MaxScanRows)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		each(row)
	}
}

func decode(t *rapid.T, value []byte, into any) {
	if err := json.Unmarshal(value, into); err != nil {
		t.Fatal(err)
	}
}
