package quarantine

import (
	"testing"
	"time"
)

// Guards against processes that each count the deaths which they learned from an agent themselves, so that a request takes two
// upstreams for each of them.
func TestDeathsReportedToDifferentProcessesAddUp(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	now := start
	a.RecordReport("u1", "i1", []Suspect{{Fingerprint: "bad", Deaths: 1, Remaining: time.Minute}}, now)
	b.RecordReport("u2", "i1", []Suspect{{Fingerprint: "bad", Deaths: 1, Remaining: time.Minute}}, now)
	for range 3 {
		a.Merge(b.Suspects(10, now), now)
		b.Merge(a.Suspects(10, now), now)
	}
	for name, l := range map[string]*List{"a": a, "b": b} {
		if v := l.Check("bad", now); v.Action != Refuse {
			t.Errorf("process %s: %s after %d deaths, want refuse after 2", name, v.Action, v.Deaths)
		}
	}
}
