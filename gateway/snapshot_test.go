package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/hosting"
)

// Guards against a check that finds faults in sound tables, or none in broken ones.
func TestSnapshotCheck(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	items := testItems(6)
	w.mustSubmit(g, "job-1", items...)
	w.readAll(g, "job-1")
	take := func() *Snapshot {
		s, err := ReadSnapshot(t.Context(), w.store)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	sound := take()
	if faults := sound.Check(); len(faults) != 0 {
		t.Errorf("faults in sound tables: %v", faults)
	}
	if jobs := sound.Jobs(); len(jobs) != 1 || jobs[0].Listed != 6 || len(sound.Entries()) != 1 {
		t.Errorf("jobs %+v, entries %+v", jobs, sound.Entries())
	}
	for name, change := range map[string]func(s *Snapshot){
		"a result without a place": func(s *Snapshot) {
			s.Rows = append(s.Rows, hosting.StoredRow{RowKey: positionKey("job-1", 9), Value: []byte(`{"id":"x"}`)})
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
		s := take()
		change(s)
		if len(s.Check()) == 0 {
			t.Errorf("%s: no fault found", name)
		}
	}
}

// Guards against a snapshot that is read back as something else, and against a file that is none.
func TestSnapshotFile(t *testing.T) {
	s := &Snapshot{Rows: []hosting.StoredRow{{RowKey: positionKey("j", 0), Value: []byte("{}"), Version: 3}}}
	var file bytes.Buffer
	if err := s.Write(&file); err != nil {
		t.Fatal(err)
	}
	back, err := LoadSnapshot(&file)
	if err != nil || len(back.Rows) != 1 || back.Rows[0].Version != 3 || back.Rows[0].Key != s.Rows[0].Key {
		t.Errorf("read back %+v, %v", back, err)
	}
	if _, err := LoadSnapshot(strings.NewReader(`{"lines":[]}`)); err == nil {
		t.Error("a file that is no snapshot was accepted")
	}
}
