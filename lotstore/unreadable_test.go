package lotstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// unreadableValues are values of ready rows. %s is the key of the row; the later ones are valid JSON.
var unreadableValues = []string{
	`{"key":"%s","group":`,
	`null`,
	`{"format":2,"payload":"AAEC"}`,
	`{"key":"%s","group":"bad","samples":3,"version":5,"bytes":900,"object":"a1"}`,
	`{"key":"%s","group":"bad","samples":3,"oldest":5,"object":"a1"}`,
	`{"key":"lots/other/ready/1-bad","group":"bad","samples":3,"oldest":5,"bytes":900,"object":"a1"}`,
}

// unreadableRow returns the n-th unreadable ready row. It became ready at the given time.
func unreadableRow(n int, ready time.Time) hosting.Put {
	key := readyKey(testTrainer, fmt.Sprint("bad", n), ready)
	return hosting.Put{Key: key, Value: []byte(strings.ReplaceAll(unreadableValues[n%len(unreadableValues)], "%s", key))}
}

func commitRow(t *testing.T, table hosting.Table, put hosting.Put) {
	t.Helper()
	if result, err := table.Commit(t.Context(), hosting.Txn{Puts: []hosting.Put{put}}); err != nil || !result.Committed {
		t.Fatalf("write %s: committed %v, %v", put.Key, result.Committed, err)
	}
}

// pullAll pulls until no lot is ready and returns how often each sample was delivered.
func pullAll(t *testing.T, s *Store) map[string]int {
	t.Helper()
	delivered := map[string]int{}
	for after := int64(0); ; after++ {
		_, content, err := s.Pull(t.Context(), testTrainer, after, 5)
		if errors.Is(err, lots.ErrNotReady) {
			return delivered
		}
		if err != nil {
			t.Errorf("pull after %d: %v", after, err)
			return delivered
		}
		var c lots.Content
		if err := json.Unmarshal(content, &c); err != nil {
			t.Fatal(err)
		}
		for _, sample := range c.Samples {
			delivered[sample.ID]++
		}
	}
}

// Guards against the same as TestExactlyOnceDelivery with unreadable ready rows among the others, and against
// unreadable rows that are changed or deleted.
func TestExactlyOnceDeliveryWithUnreadableRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(synctestTB{t}, func(rt *rapid.T) {
			m := newModel(rt)
			m.checkDelivery(rt, map[string]func(*rapid.T){"unreadable row": func(*rapid.T) { m.addUnreadable() }})
		})
	})
}

// Guards against an unreadable ready row that blocks all pulls of its trainer, against more of them than a page holds
// that hide the groups behind them, and against their deletion, after which no later version could read them.
func TestUnreadableReadyRowBlocksNoPull(t *testing.T) {
	for _, order := range []lots.Order{lots.OrderOldest, lots.OrderFreshest} {
		t.Run(string(order), func(t *testing.T) {
			p := memory.New(memory.Options{})
			spec := testSpec
			spec.Order = order
			s := newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
			unreadable := map[string]string{}
			for n := range readyPageSize + 2 {
				put := unreadableRow(n, time.Unix(0, int64(n)))
				commitRow(t, p.Table, put)
				unreadable[put.Key] = string(put.Value)
			}
			want := map[string]int{}
			for n := range 4 {
				id := fmt.Sprint("g", n)
				if err := s.AddGroup(t.Context(), testGroup(id, "text", 2, 5)); err != nil {
					t.Fatal(err)
				}
				put := unreadableRow(n, time.Now())
				commitRow(t, p.Table, put)
				unreadable[put.Key] = string(put.Value)
				want[id+"/0"], want[id+"/1"] = 1, 1
			}
			if diff := cmp.Diff(want, pullAll(t, s)); diff != "" {
				t.Errorf("delivered samples (-want +got):\n%s", diff)
			}
			for key, value := range unreadable {
				if row, err := p.Table.Get(t.Context(), key); err != nil || string(row.Value) != value {
					t.Fatalf("unreadable row %s is now %q, %v", key, row.Value, err)
				}
			}
		})
	}
}

// Guards against an unreadable ready row that hides the state of a trainer from operators or stops the counting of its
// ready samples, which bounds new rollout groups.
func TestUnreadableReadyRowIsNotCounted(t *testing.T) {
	p := memory.New(memory.Options{})
	spec := testSpec
	spec.MaxReadySamples = 8
	s := newTestStoreWithSpec(spec, p.Table, p.Objects, nil)
	for n := range unreadableValues {
		commitRow(t, p.Table, unreadableRow(n, time.Unix(0, int64(n))))
	}
	for n := range 3 {
		if err := s.AddGroup(t.Context(), testGroup(fmt.Sprint("g", n), "text", 3, 5)); err != nil {
			t.Fatal(err)
		}
	}
	status, err := s.Status(t.Context(), testTrainer)
	if err != nil || status.ReadyGroups != 3 || status.ReadySamples != 9 || status.OldestVersion != 5 {
		t.Errorf("status %+v, %v; want 9 samples of version 5 in 3 groups", status, err)
	}
	s.HasCapacity(testTrainer) // requests a count
	s.CountReady(t.Context())
	if s.HasCapacity(testTrainer) {
		t.Error("capacity for rollout groups with 9 samples ready and a limit of 8")
	}
}

// Guards against unreadable ready rows that nobody learns of, and against a line for each pull.
func TestUnreadableReadyRowIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	p := memory.New(memory.Options{})
	opts := newTestStore(p.Table, p.Objects, nil).opts
	opts.Log = zerolog.New(&out)
	s := New(opts)
	want := map[string]int{}
	for n := range unreadableValues {
		put := unreadableRow(n, time.Unix(0, int64(n)))
		commitRow(t, p.Table, put)
		want[put.Key] = 1
	}
	for range 3 {
		if _, _, err := s.Pull(context.Background(), testTrainer, 0, 5); !errors.Is(err, lots.ErrNotReady) {
			t.Errorf("pull without readable samples: %v", err)
		}
	}
	got := map[string]int{}
	for line := range strings.Lines(out.String()) {
		var fields struct{ Message, Level, Key, Error string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields.Message == "row skipped" && fields.Level == zerolog.LevelWarnValue && fields.Error != "" {
			got[fields.Key]++
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines by row (-want +got):\n%s", diff)
	}
	var text strings.Builder
	s.metrics.registry.WritePrometheus(&text)
	if line := fmt.Sprintf("radishshelf_lot_rows_skipped_total %d\n", len(want)); !strings.Contains(text.String(), line) {
		t.Errorf("no line %q in:\n%s", line, text.String())
	}
}
