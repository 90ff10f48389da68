package quarantine

import (
	"testing"
	"time"
)

// Guards against processes that count only the deaths reported to them by their own agents, so that a request can crash two
// upstreams per process.
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
