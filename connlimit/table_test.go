package connlimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is what a test knows of a connection.
type model struct{ serving, writing, ending bool }

// Checks for any sequence of events that both bounds hold unless the excess is being served, that no connection is closed
// whose complete request is being served, unless its caller stalls, and that a closed connection is counted until it ends.
func TestBoundsHoldAndServedConnectionsStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Bytes: rapid.Int64Range(2*connBytes, 12*connBytes).Draw(t, "bytes")}
		table, conns, now := New(limits), map[ID]*model{}, time.Time{}
		var ids []ID
		var last ID
		check := func(closed []ID) {
			for _, id := range closed {
				m := conns[id]
				if m.ending || m.serving && !m.writing {
					t.Fatalf("closed connection %d in state %+v", id, *m)
				}
				m.ending = true
			}
			waiting, ending, served := 0, 0, 0
			for _, m := range conns {
				switch {
				case m.ending:
					ending++
				case m.serving:
					served++
				default:
					waiting++
				}
			}
			if table.Count() != waiting+served || table.Ending() != ending {
				t.Fatalf("count %d, ending %d; want %d, %d", table.Count(), table.Ending(), waiting+served, ending)
			}
			if exceeded := table.Count() > limits.Connections || table.Bytes() > limits.Bytes; exceeded && waiting > 0 {
				t.Fatalf("%d connections with %d bytes although %d wait", table.Count(), table.Bytes(), waiting)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			if len(ids) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				last++
				ids, conns[last] = append(ids, last), &model{}
				check(table.Open(last, now))
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			m := conns[id]
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event == 0 && !m.serving:
				check(table.Head(id, rapid.IntRange(0, 40_000).Draw(t, "size"), rapid.IntRange(0, 50).Draw(t, "lines"), now))
			case event == 1:
				table.Serve(id)
				m.serving = m.serving || !m.ending
			case event == 2 && m.serving:
				table.Write(id, now)
				m.writing = true
			case event == 3 && m.serving:
				table.Wrote(id)
				m.writing = false
			case event == 4 && !m.ending && !m.writing:
				table.Done(id, now)
				m.serving = false
			case event == 5:
				table.Close(id)
				ids = slices.DeleteFunc(ids, func(other ID) bool { return other == id })
				delete(conns, id)
			}
		}
		check(table.Stalled(now))
		for _, id := range ids {
			table.Close(id)
		}
		if table.Count() != 0 || table.Bytes() != 0 || table.Ending() != 0 {
			t.Fatalf("an empty table counts %d connections, %d bytes, %d ending", table.Count(), table.Bytes(), table.Ending())
		}
	})
}
