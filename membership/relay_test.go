package membership

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an upstream that is considered dead because peers rarely relay its reports, against a dead upstream
// that a relayed copy of its last report keeps live, and against a refused connection that takes effect only after the
// longer timeouts for relayed reports.
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
			t.Errorf("%s after %v: got %v, want %v", name, after, got, want)
		}
	}
	// 100 upstreams at 10 reports per second result in a relay refresh interval of 10 s.
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
		t.Errorf("the view keeps incarnation %s of a process that restarted", got)
	}
	if m.ApplyRelayedPartial(Upstream{Name: "u4", Incarnation: "z", ReportSeq: 9}, 0, now) {
		t.Error("a partial report of an unknown incarnation was applied")
	}
	if !m.ApplyRelayedPartial(Upstream{Name: "u4", Incarnation: "x", ReportSeq: 9}, 0, now) ||
		m.upstream("u4", now).DataAddress != "a" {
		t.Error("a partial report was refused or cleared the address")
	}
}
