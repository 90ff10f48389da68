package entry

import (
	"math/rand"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
)

// Guards against a relayed report that replaces a newer load reported with a response.
func TestResponseRefreshesLoad(t *testing.T) {
	f := NewFleet("dc", "region", rand.New(rand.NewSource(1)))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	report := membership.Upstream{Name: "u", Incarnation: "i", ReportSeq: 1, Load: dataplane.Load{PendingTokens: 9000}}
	f.ApplyRelayed(report, 0, now)
	now = now.Add(2 * time.Second)
	f.recordResponse("u", dataplane.Load{PendingTokens: 10}, now)
	// A relayed report from before the response arrives after it.
	report.ReportSeq = 2
	f.ApplyRelayed(report, time.Second, now)
	c := f.candidate(f.Upstreams(now)[0], fleetconfig.NewState().View())
	if c.PendingTokens != 10 || !c.ReportedAt.Equal(now) {
		t.Fatalf("the load is %d tokens of %v", c.PendingTokens, c.ReportedAt)
	}
}
