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
func (w *host) advance(d time.Duration) (worst time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now, w.boot = w.now.Add(100*time.Millisecond), w.boot.Add(100*time.Millisecond)
		estimate, _, jumped := w.clock.Read(w.now.Add(w.clockError), w.boot)
		if jumped {
			w.jumps++
		}
		worst = max(worst, estimate.Sub(w.now).Abs())
	}
	return worst
}

// Guards against an estimate that follows a wall clock that repeatedly jumps by seconds, forward or backward, and back
// again.
func TestTemporaryJumpsAreIgnored(t *testing.T) {
	w := newHost()
	w.advance(time.Second)
	for _, jump := range []time.Duration{5 * time.Second, -4 * time.Second, 700 * time.Millisecond, 30 * time.Second} {
		w.clockError = jump
		if worst := w.advance(20 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s the estimate is off by %s", jump, worst)
		}
		w.clockError = 0
		if worst := w.advance(5 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s and back the estimate is off by %s", jump, worst)
		}
	}
	if w.jumps != 8 {
		t.Errorf("%d jumps were reported, want 8", w.jumps)
	}
}

// Guards against an estimate that stays wrong forever because the wall clock was wrong at the start and corrected
// later.
func TestLastingCorrectionIsAccepted(t *testing.T) {
	w := newHost()
	w.clockError = 10 * time.Second
	w.advance(time.Second)
	w.clockError = 0
	w.advance(acceptAfter + time.Second)
	if worst := w.advance(time.Second); worst > 0 {
		t.Errorf("the estimate is off by %s after the correction has lasted for a minute", worst)
	}
}

// Guards against an estimate that diverges from a wall clock with a slightly different rate, and against a suspension
// of the host being reported as a jump.
func TestDriftAndSuspension(t *testing.T) {
	w := newHost()
	for range 1000 {
		w.clockError += time.Millisecond
		w.advance(100 * time.Millisecond)
	}
	if w.jumps != 0 {
		t.Errorf("a slow drift was reported as %d jumps", w.jumps)
	}
	w.now, w.boot = w.now.Add(8*time.Second), w.boot.Add(8*time.Second) // suspended: no readings
	w.advance(time.Second)
	if w.jumps != 0 {
		t.Error("a suspension was reported as a jump")
	}
}
