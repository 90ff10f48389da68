package batch

import "testing"

// Guards against a text of a job that allows one weight version a text and that moves to an engine with another one: the
// whole text would be dropped when it is complete.
func TestTextOfOneVersionContinuesThere(t *testing.T) {
	for _, c := range []struct {
		single      bool
		has, engine int64
		want        bool
	}{{true, 0, 3, true}, {true, 2, 2, true}, {true, 2, 3, false}, {false, 2, 3, true}} {
		j := NewJob(Spec{Items: []Item{{ID: "a"}}}, Record{}, Limits{MaxFailures: 1, SingleVersion: c.single})
		p := j.Items()[0]
		j.Start(p)
		if c.has > 0 {
			p.Text.Append(1, "x", c.has)
		}
		if got := j.MayContinue(p, c.engine); got != c.want {
			t.Errorf("single=%v: a text of version %d may continue at version %d: %v", c.single, c.has, c.engine, got)
		}
	}
}
