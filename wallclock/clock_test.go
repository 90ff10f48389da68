package wallclock

import (
	"testing"
	"time"
)

// host simulates a host whose wall clock differs from the true time now by clockError. boot is its boot time clock.
type host struct {
	clock      Clock
	now        time.Time
	boot       time.Time
	clockError time.Duration
	jumps      int
}

func newHost() *host { return &host{now: time.Unix(1_700_000_000, 0), boot: time.Unix(500, 0)} }

// advance simulates the time d with a reading every 100 ms and returns the largest error of the estimate.
func (h *host) advance(d time.Duration) (worst time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now, h.boot = h.now.Add(100*time.Millisecond), h.boot.Add(100*time.Millisecond)
		estimate, _, jumped := h.clock.Read(h.now.Add(h.clockError), h.boot)
		if jumped {
			h.jumps++
		}
		worst = max(worst, estimate.Sub(h.now).Abs())
	}
	return worst
}

// Guards against an estimate that follows a wall clock that repeatedly jumps by seconds, forward or backward, and back
// again.
func TestTemporaryJumpsAreIgnored(t *testing.T) {
	h := newHost()
	h.advance(time.Second)
	for _, jump := range []time.Duration{5 * time.Second, -4 * time.Second, 700 * time.Millisecond, 30 * time.Second} {
		h.clockError = jump
		if worst := h.advance(20 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s the estimate is off by %s", jump, worst)
		}
		h.clockError = 0
		if worst := h.advance(5 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s and back the estimate is off by %s", jump, worst)
		}
	}
	if h.jumps != 8 {
		t.Errorf("%d jumps were reported, want 8", h.jumps)
	}
}

// Guards against an estimate that stays wrong forever because the wall clock was wrong at the start and corrected
// later.
func TestLastingCorrectionIsAccepted(t *testing.T) {
	h := newHost()
	h.clockError = 10 * time.Second
	h.advance(time.Second)
	h.clockError = 0
	h.advance(acceptAfter + time.Second)
	if worst := h.advance(time.Second); worst > 0 {
		t.Errorf("the estimate is off by %s after the correction has lasted for a minute", worst)
	}
}

// Guards against an estimate that diverges from a wall clock with a slightly different rate, and against a suspension
// of the host being reported as a jump.
func TestDriftAndSuspension(t *testing.T) {
	h := newHost()
	for range 1000 {
		h.clockError += time.Millisecond
		h.advance(100 * time.Millisecond)
	}
	if h.jumps != 0 {
		t.Errorf("a slow drift was reported as %d jumps", h.jumps)
	}
	h.now, h.boot = h.now.Add(8*time.Second), h.boot.Add(8*time.Second) // suspended: no readings
	h.advance(time.Second)
	if h.jumps != 0 {
		t.Error("a suspension was reported as a jump")
	}
}
