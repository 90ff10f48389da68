package agent

import (
	"strconv"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

const (
	testRetention  = time.Minute
	testDifference = time.Second
)

// Guards against a crash suspect that is forgotten early, because renewed reports are ignored while the list is full, and
// against a list that grows without limit.
func TestFullSuspectListIsRenewed(t *testing.T) {
	s := newSuspects(testRetention)
	start := time.Now()
	var reports []*rpc.Quarantined
	for i := range maxSuspects {
		reports = append(reports, &rpc.Quarantined{
			Fingerprint: strconv.Itoa(i), Deaths: refuseAfterDeaths, RemainingMs: testRetention.Milliseconds(),
		})
	}
	s.recordReported(reports, start)
	added := &rpc.Quarantined{Fingerprint: "new", Deaths: refuseAfterDeaths, RemainingMs: testRetention.Milliseconds()}
	s.recordReported([]*rpc.Quarantined{added, reports[0]}, start.Add(testRetention-testDifference))
	if n := len(s.reported); n != maxSuspects {
		t.Errorf("%d suspects; want at most %d", n, maxSuspects)
	}
	now := start.Add(testRetention + testDifference)
	if s.check(reports[0].Fingerprint, false, now) == nil {
		t.Error("a suspect that was reported again has expired")
	}
	if err := s.check(reports[1].Fingerprint, false, now); err != nil {
		t.Errorf("a suspect that was not reported again is refused: %v", err)
	}
}
