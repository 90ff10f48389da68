package membership

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an upstream that is taken for dead because peers pass its reports on rarely, against a dead one that a
// peer's copy of its last report keeps alive, and against a refused connection that waits for the longer scale.
func TestUpstreamReportedByPeersOnly(t *testing.T) {
	m := New(Options{RelayRate: 10})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 100 {
		m.ApplyRelayed(Upstream{Name: fmt.Sprint("u", i), DataAddress: "a", Incarnation: "x", ReportSeq: 1}, 0, now)
	}
	m.ApplyHeartbeat(Upstream{Name: "u0", Incarnation: "x", ReportSeq: 2}, now)
	m.ApplyRelayed(Upstream{Name: "u0", Incarnation: "x", ReportSeq: 3}, 0, now.Add(time.Second))
	expect := func(name string, after time.Duration, want Status) {
		t.Helper()
		if got := m.upstream(name, now.Add(after)).Status; got != want {
			t.Errorf("%s after %v: %v instead of %v", name, after, got, want)
		}
	}
	// 100 upstreams at 10 reports a second: the refresh time is 10 s.
	expect("u1", 60*time.Second, Live)
	expect("u1", 62*time.Second, Suspect)
	expect("u1", 152*time.Second, Suspect)
	expect("u1", 154*time.Second, Dead)
	expect("u0", 5*time.Second, Dead)
	m.RecordResponse("u1", now.Add(100*time.Second))
	expect("u1", 154*time.Second, Live)
	m.RecordRefused("u2", now.Add(time.Second))
	expect("u2", time.Second, Dead)
	m.ApplyRelayed(Upstream{Name: "u2", Incarnation: "x", ReportSeq: 2}, 0, now.Add(2*time.Second))
	expect("u2", 2*time.Second, Dead)
	m.ApplyRelayed(Upstream{Name: "u2", Incarnation: "x", ReportSeq: 3}, 0, now.Add(5*time.Second))
	expect("u2", 5*time.Second, Live)
	m.ApplyRelayed(Upstream{Name: "u3", Incarnation: "y", ReportSeq: 1}, 0, now.Add(time.Second))
	if got := m.upstream("u3", now.Add(time.Second)).Incarnation; got != "y" {
		t.Errorf("the restarted process is not followed: %s", got)
	}
	if m.ApplyRelayedPartial(Upstream{Name: "u4", Incarnation: "z", ReportSeq: 9}, 0, now) {
		t.Error("a short report of an unknown incarnation is taken")
	}
	if !m.ApplyRelayedPartial(Upstream{Name: "u4", Incarnation: "x", ReportSeq: 9}, 0, now) || m.upstream("u4", now).DataAddress != "a" {
		t.Error("a short report loses the address")
	}
}
