package evenload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drawReports draws reports on up to eight upstreams.
func drawReports(t *rapid.T) (reports []Report, ids []string) {
	for i := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
		ids = append(ids, fmt.Sprint("u", i))
	}
	for range rapid.IntRange(0, 5).Draw(t, "hosts") {
		age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age ms")) * time.Millisecond
		requests := map[string]int{}
		for _, id := range ids {
			requests[id] = rapid.IntRange(0, 20).Draw(t, "requests")
		}
		reports = append(reports, Report{HeardAt: start.Add(-age), Requests: requests})
	}
	return reports, ids
}

// Guards against an estimate that loses or invents load as reports get older: only its spread over the upstreams changes.
func TestExpectedLoadKeepsItsSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports, ids := drawReports(t)
		lifetime := time.Duration(rapid.IntRange(0, 5000).Draw(t, "lifetime ms")) * time.Millisecond
		later := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "later ms")) * time.Millisecond)
		l := NewPeerLoad(reports, ids, lifetime, start)
		reported, expected := 0.0, 0.0
		for _, id := range ids {
			for _, r := range reports {
				reported += float64(r.Requests[id])
			}
			n := l.Expected(id, later)
			if n < -1e-9 {
				t.Fatalf("%g requests expected at %s", n, id)
			}
			expected += n
		}
		if math.Abs(reported-expected) > 1e-6 {
			t.Fatalf("reported %g requests, expected %g", reported, expected)
		}
	})
}

// Guards against an estimate for later that differs from one made later.
func TestExpectedLoadAgesAsIfSummedLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports, ids := drawReports(t)
		lifetime := time.Duration(rapid.IntRange(1, 5000).Draw(t, "lifetime ms")) * time.Millisecond
		later := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "later ms")) * time.Millisecond)
		before, after := NewPeerLoad(reports, ids, lifetime, start), NewPeerLoad(reports, ids, lifetime, later)
		for _, id := range ids {
			if a, b := before.Expected(id, later), after.Expected(id, later); math.Abs(a-b) > 1e-6 {
				t.Fatalf("%s: %g summed before, %g summed later", id, a, b)
			}
		}
	})
}
