package measure

import "testing"

// Guards against hosts that fill upstreams in turns because they all act on the same old reports: at 0.7 of the capacity
// almost no request is rejected.
func TestOldReportsCauseNoHerd(t *testing.T) {
	busy := LoadPatterns()[1]
	if r := runEvenLoad(busy, chooseEvenLoad, 1); r.rejectedShare() > 0.05 || r.failures > 0 {
		t.Errorf("%.3f rejections a request, %d requests failed", r.rejectedShare(), r.failures)
	}
	// The choice before has to fail this test, or the pattern shows nothing.
	if r := runEvenLoad(busy, chooseLeastReported, 1); r.rejectedShare() < 0.5 {
		t.Errorf("%.3f rejections a request with the least reported load; the pattern has become too light", r.rejectedShare())
	}
}
