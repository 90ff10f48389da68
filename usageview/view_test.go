package usageview

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/usage"
)

var testNow = time.Date(2026, 3, 1, 10, 4, 30, 0, time.UTC)

func newView(t *testing.T) (*View, func(key string, value any)) {
	t.Helper()
	table := memory.New(memory.Options{}).Table
	put := func(key string, value any) {
		t.Helper()
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		result, err := table.Commit(t.Context(), hosting.Txn{Puts: []hosting.Put{{Key: key, Value: data}}})
		if err != nil || !result.Committed {
			t.Fatalf("put %s: %+v, %v", key, result, err)
		}
	}
	window := func() usage.Window { return usage.Window{Length: time.Minute} }
	return New(Options{Table: table, Window: window, Now: func() time.Time { return testNow }}), put
}

// Guards against a window that is left out or listed in a state that does not match its rows.
func TestUsageWindows(t *testing.T) {
	v, put := newView(t)
	sealed := usage.SealedWindow{Reports: []usage.SealedReport{{Workspace: "north/1"}, {Workspace: "south"}}}
	put("usage/closing/2026-03-01T10:00:00Z", 1)
	put("usage/sealed/2026-03-01T10:00:00Z", sealed)
	put("usage/reported/2026-03-01T10:00:00Z/north%2F1", 1)
	put("usage/reported/2026-03-01T10:00:00Z/south", 1)
	put("usage/closing/2026-03-01T10:01:00Z", 1)
	put("usage/sealed/2026-03-01T10:01:00Z", sealed)
	put("usage/reported/2026-03-01T10:01:00Z/south", 1)
	put("usage/reported/2026-03-01T10:01:00Z/unknown", 1)
	put("usage/closing/2026-03-01T10:02:00Z", 1)
	put("usage/batch/2026-03-01T10:03:00Z/agent-1/a", 1)
	put("usage/batch/2026-03-01T10:03:00Z/agent-1/b", 1)
	// An old window with unreported batches is listed; one without batches is not.
	put("usage/batch/2026-02-27T10:00:00Z/agent-1/a", 1)
	put("usage/closing/2026-02-27T10:00:00Z", 1)
	put("usage/closing/2026-02-27T10:01:00Z", 1)
	got, err := v.UsageWindows(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := []operatorclient.UsageWindow{
		{Window: "2026-02-27T10:00:00Z", State: "closing"},
		{Window: "2026-03-01T10:00:00Z", State: "reported", Workspaces: 2, Reported: 2},
		{Window: "2026-03-01T10:01:00Z", State: "sealed", Workspaces: 2, Reported: 1},
		{Window: "2026-03-01T10:02:00Z", State: "closing"},
		{Window: "2026-03-01T10:03:00Z", State: "open"},
		{Window: "2026-03-01T10:04:00Z", State: "open"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against reads that grow without bound with the age of the fleet or the length of a sink outage.
func TestReadsAreBounded(t *testing.T) {
	v, put := newView(t)
	for i := range 300 {
		name := usage.WindowKey(testNow.Add(-time.Duration(i) * time.Minute).Truncate(time.Minute))
		put("usage/closing/"+name, 1)
		put(fmt.Sprintf("usage/batch/%s/agent-1/a", name), 1)
	}
	counted := &countingTable{Table: v.opts.Table}
	v.opts.Table = counted
	windows, err := v.UsageWindows(t.Context())
	if err != nil || len(windows) > 2*maxWindows+1 {
		t.Fatalf("%d windows, %v", len(windows), err)
	}
	const maxReads = 8 * maxWindows
	if counted.reads > maxReads {
		t.Errorf("%d reads of the table; want at most %d", counted.reads, maxReads)
	}
}

type countingTable struct {
	hosting.Table
	reads int
}

func (c *countingTable) Get(ctx context.Context, key string) (hosting.Row, error) {
	c.reads++
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]hosting.Row, error) {
	c.reads++
	return c.Table.Scan(ctx, prefix, after, limit)
}
