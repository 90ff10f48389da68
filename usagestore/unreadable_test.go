package usagestore

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/usage"
)

// testWindowKey names the first window of the harness.
const testWindowKey = "2026-03-01T10:00:00Z"

// unreadableValues are values of batch rows. The later ones are valid JSON but do not hold the batch of their key.
var unreadableValues = []string{
	`{"agent":"agent/2","records":[{"seq":`,
	`null`,
	`{"format":2,"payload":"AAEC"}`,
	`{"agent":"agent/2","incarnation":"i1","number":3,"entries":[{}]}`,
}

// unreadableRows returns a batch row for each of unreadableValues, by key.
func unreadableRows() map[string]string {
	rows := map[string]string{}
	for n, value := range unreadableValues {
		rows[batchKey(testWindowKey, usage.Batch{Agent: "agent/2", Incarnation: "i1", Number: int64(n)})] = value
	}
	return rows
}

// addUnreadable adds an unreadable batch row to the current window unless that is closed.
func (w *harness) addUnreadable(value string) {
	window := usage.WindowKey(testWindow.Start(w.now))
	key := batchKey(window, usage.Batch{Agent: "agent/2", Incarnation: "i1", Number: int64(len(w.unreadable))})
	result, err := w.platform.Table.Commit(w.ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: closingKey(window)}}, Puts: []hosting.Put{{Key: key, Value: []byte(value)}},
	})
	if err == nil && result.Committed {
		w.unreadable[key] = value
	}
}

func (w *harness) put(t *testing.T, rows map[string]string) {
	t.Helper()
	for key, value := range rows {
		txn := hosting.Txn{Puts: []hosting.Put{{Key: key, Value: []byte(value)}}}
		if _, err := w.platform.Table.Commit(w.ctx, txn); err != nil {
			t.Fatal(err)
		}
	}
}

// rows returns the values below prefix by the rest of their key.
func (w *harness) rows(t *testing.T, prefix string) map[string]string {
	t.Helper()
	rows, err := w.platform.Table.Scan(w.ctx, prefix, "", memory.MaxScanRows)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	for _, row := range rows {
		values[strings.TrimPrefix(row.Key, prefix)] = string(row.Value)
	}
	return values
}

// requestInTwoWindows flushes one request in each of two windows.
func (w *harness) requestInTwoWindows(t *testing.T) {
	t.Helper()
	for _, workspace := range []string{"north", "south"} {
		w.request(workspace, 5)
		if err := w.agentFlusher.Flush(w.ctx); err != nil {
			t.Fatal(err)
		}
		w.now = w.now.Add(testWindow.Length)
	}
	w.now = w.now.Add(testWindow.Length)
}

// Guards against the same as TestTotalsAreExact with unreadable batch rows among the others, and against unreadable
// rows that are not kept.
func TestTotalsAreExactWithUnreadableRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newHarness()
		checkTotals(rt, w, map[string]func(*rapid.T){
			"unreadable row": func(rt *rapid.T) { w.addUnreadable(rapid.SampledFrom(unreadableValues).Draw(rt, "value")) },
		})
		for key, value := range w.unreadable {
			if row, err := w.platform.Table.Get(w.ctx, keptKey(key)); err != nil || string(row.Value) != value {
				rt.Fatalf("copy of the unreadable row %s: %q, %v", key, row.Value, err)
			}
		}
	})
}

// Guards against an unreadable batch row that stops its window and all later ones from being sealed and reported.
func TestUnreadableBatchRowBlocksNoWindow(t *testing.T) {
	w := newHarness()
	w.put(t, unreadableRows())
	w.requestInTwoWindows(t)
	if err := w.reporter.Step(w.ctx); err != nil {
		t.Errorf("step with unreadable batch rows: %v", err)
	}
	totals, err := w.totals()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(w.expected, totals); diff != "" {
		t.Errorf("reported totals differ from the readable usage (-want +reported):\n%s", diff)
	}
}

// Guards against unreadable batch rows that are deleted with their window, so that no later version can read them.
func TestUnreadableBatchRowIsKept(t *testing.T) {
	w := newHarness()
	w.put(t, unreadableRows())
	w.requestInTwoWindows(t)
	if err := w.reporter.Step(w.ctx); err != nil {
		t.Error(err)
	}
	want := map[string]string{}
	for key, value := range unreadableRows() {
		want[strings.TrimPrefix(key, batchPrefix)] = value
	}
	if diff := cmp.Diff(want, w.rows(t, "usage/kept/")); diff != "" {
		t.Errorf("rows below usage/kept/ (-want +got):\n%s", diff)
	}
	if left := w.rows(t, batchPrefix); len(left) != 0 {
		t.Errorf("batch rows left: %v", left)
	}
}

// Guards against a figure without the unreadable rows that the log shows as complete, and against a line for each
// attempt to seal the window.
func TestUnreadableBatchRowIsLoggedOnce(t *testing.T) {
	w := newHarness()
	var out bytes.Buffer
	w.log = zerolog.New(&out)
	w.takeOver()
	w.put(t, unreadableRows())
	w.requestInTwoWindows(t)
	// The window is closed, each row is kept, and then the table fails before the sealed row is written.
	w.interceptor.callsBeforeHook = 1 + len(unreadableValues)
	w.interceptor.hook = func() { w.platform.Table.Faults.Set(memory.Faults{Outage: true}) }
	if err := w.reporter.Step(w.ctx); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Errorf("step with the table down: %v", err)
	}
	w.platform.Table.Faults.Set(memory.Faults{})
	for range 2 {
		if err := w.reporter.Step(w.ctx); err != nil {
			t.Error(err)
		}
	}
	skipped, sealed := countSkipLines(t, &out)
	want := map[string]int{}
	for key := range unreadableRows() {
		want[key] = 1
	}
	if diff := cmp.Diff(want, skipped); diff != "" {
		t.Errorf("lines by row (-want +got):\n%s", diff)
	}
	if sealed[testWindowKey] != len(unreadableValues) {
		t.Errorf("unreadable rows in the lines of sealed windows: %v", sealed)
	}
}

// countSkipLines returns the number of "row skipped" lines by key and the field "unreadable" of the sealed windows.
func countSkipLines(t *testing.T, out *bytes.Buffer) (skipped, sealed map[string]int) {
	t.Helper()
	skipped, sealed = map[string]int{}, map[string]int{}
	for line := range strings.Lines(out.String()) {
		var fields struct {
			Message, Level, Key, Window, Error string
			Unreadable                         int
		}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		switch fields.Message {
		case "row skipped":
			if fields.Level != zerolog.LevelWarnValue || fields.Error == "" {
				t.Errorf("line without the error or at another level than warn: %s", line)
			}
			skipped[fields.Key]++
		case "usage window sealed":
			sealed[fields.Window] = fields.Unreadable
		}
	}
	return skipped, sealed
}
