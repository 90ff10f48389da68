package lease

import (
	"testing"
	"time"
)

// Guards against a role that stays unused for the whole lease duration although its holder was an earlier incarnation
// of this process, and against an early takeover from any other holder.
func TestTakeoverFromPredecessorIsFast(t *testing.T) {
	const wait = 700 * time.Millisecond
	cfg := DefaultConfig("a#2")
	cfg.IsPredecessor = func(holder string) bool { return holder == "a#1" }
	cfg.PredecessorWait = wait
	for holder, want := range map[string]time.Duration{"a#1": wait, "b#1": cfg.Duration + cfg.PauseTolerance} {
		c, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Unix(100, 0)
		row := Observation{Revision: 3, Record: Record{Holder: holder, Term: 5}}
		for now := start; ; now = now.Add(100 * time.Millisecond) {
			actions := c.Tick(now)
			if len(actions) > 0 && actions[0].Kind == ActionRead {
				c.Observed(row, now)
				continue
			}
			if len(actions) == 0 {
				continue
			}
			// Reading the row once more may take one step.
			if took := now.Sub(start); took < want || took > want+200*time.Millisecond || actions[0].Record.Term != 6 {
				t.Errorf("from %s: %+v after %s, want term 6 after %s", holder, actions[0], took, want)
			}
			break
		}
	}
}
