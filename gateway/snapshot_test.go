package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/hosting"
)

// Guards against a check that reports violations in consistent tables, or none in damaged ones.
func TestSnapshotCheck(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	items := testItems(6)
	w.mustSubmit(g, "job-1", items...)
	w.readAll(g, "job-1")
	readSnapshot := func() *Snapshot {
		s, err := ReadSnapshot(t.Context(), w.store)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	consistent := readSnapshot()
	if violations := consistent.Check(); len(violations) != 0 {
		t.Errorf("violations in consistent tables: %v", violations)
	}
	if jobs := consistent.Jobs(); len(jobs) != 1 || jobs[0].Listed != 6 || len(consistent.Heartbeats()) != 1 {
		t.Errorf("jobs %+v, heartbeats %+v", jobs, consistent.Heartbeats())
	}
	for name, change := range map[string]func(s *Snapshot){
		"a result at a wrong position": func(s *Snapshot) {
			s.Rows = append(s.Rows, hosting.StoredRow{RowKey: resultKey("job-1", 9), Value: []byte(`{"id":"x"}`)})
		},
		"missing content": func(s *Snapshot) {
			for i, r := range s.Rows {
				if r.Table == contentTable {
					s.Rows = append(s.Rows[:i], s.Rows[i+1:]...)
					return
				}
			}
		},
		"an unreadable record": func(s *Snapshot) {
			for i, r := range s.Rows {
				if r.Table == jobTable {
					s.Rows[i].Value = []byte("{")
				}
			}
		},
	} {
		s := readSnapshot()
		change(s)
		if len(s.Check()) == 0 {
			t.Errorf("%s: no violation found", name)
		}
	}
}

// Guards against a snapshot that changes when it is written and loaded, and against loading a file that is not a
// snapshot.
func TestSnapshotFile(t *testing.T) {
	s := &Snapshot{Rows: []hosting.StoredRow{{RowKey: resultKey("j", 0), Value: []byte("{}"), Version: 3}}}
	var file bytes.Buffer
	if err := s.Write(&file); err != nil {
		t.Fatal(err)
	}
	back, err := LoadSnapshot(&file)
	if err != nil || len(back.Rows) != 1 || back.Rows[0].Version != 3 || back.Rows[0].Key != s.Rows[0].Key {
		t.Errorf("read back %+v, %v", back, err)
	}
	if _, err := LoadSnapshot(strings.NewReader(`{"lines":[]}`)); err == nil {
		t.Error("a file that is not a snapshot was accepted")
	}
}
