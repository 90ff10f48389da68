package upstreamlimit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/upstreams"
)

// Load: thousands of upstreams are cold at once. Guards against reports that exceed the store's bound for a row, which would
// end the heartbeats of all hosts, and against claims that no host ever tells.
func TestReportOfManyColdUpstreamsFitsARow(t *testing.T) {
	const cold, rowBytes = 3000, 64 << 10
	table := NewTable("a", &fakeView{cold: ColdBound{PerSecond: 8, Lasts: 3 * time.Second}})
	for n := range cold {
		table.ObserveCold(upstreams.Entry{ID: fmt.Sprintf("i-%010d", n), Born: 1, Service: "desk"}, time.Hour, start)
	}
	told := map[string]bool{}
	for range cold/64 + 1 {
		report := table.Report(func(upstreams.Incarnation, string) float64 { return 0 }, time.Hour, start)
		data, err := json.Marshal(report)
		if err != nil || len(data) > rowBytes/2 {
			t.Fatalf("a report of %d bytes, %v; a row holds %d with all else that a heartbeat says", len(data), err, rowBytes)
		}
		for _, c := range report.Limits {
			told[c.Upstream] = true
		}
	}
	if len(told) != cold {
		t.Errorf("%d of %d cold upstreams are ever told", len(told), cold)
	}
}
