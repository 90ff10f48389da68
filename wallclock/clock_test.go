package wallclock

import (
	"testing"
	"time"
)

// host is a host with a true time, a steady clock and a time of day that is off by an error.
type host struct {
	clock      Clock
	now        time.Time
	boot       time.Time
	clockError time.Duration
	jumps      int
}

func newHost() *host { return &host{now: time.Unix(1_700_000_000, 0), boot: time.Unix(500, 0)} }

// advance lets time advance with readings each 100 ms and returns the largest error of the believed time.
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

// Pattern: the time of day jumps by seconds, forward or backward, and back again, in series.
func TestTemporaryJumpsAreIgnored(t *testing.T) {
	w := newHost()
	w.advance(time.Second)
	for _, jump := range []time.Duration{5 * time.Second, -4 * time.Second, 700 * time.Millisecond, 30 * time.Second} {
		w.clockError = jump
		if worst := w.advance(20 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s the believed time is off by %s", jump, worst)
		}
		w.clockError = 0
		if worst := w.advance(5 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s and back the believed time is off by %s", jump, worst)
		}
	}
	if w.jumps != 8 {
		t.Errorf("%d jumps were noticed, want 8", w.jumps)
	}
}

// Guards against a clock that stays wrong for ever because it was wrong at the start and was then corrected.
func TestLastingCorrectionIsAccepted(t *testing.T) {
	w := newHost()
	w.clockError = 10 * time.Second
	w.advance(time.Second)
	w.clockError = 0
	w.advance(acceptAfter + time.Second)
	if worst := w.advance(time.Second); worst > 0 {
		t.Errorf("the believed time is off by %s after the correction has lasted for a minute", worst)
	}
}

// Guards against a believed time that runs away from a clock with a slightly different rate, and that misses a suspension.
func TestDriftAndSuspension(t *testing.T) {
	w := newHost()
	for range 1000 {
		w.clockError += time.Millisecond
		w.advance(100 * time.Millisecond)
	}
	if w.jumps != 0 {
		t.Errorf("a slow drift counts as %d jumps", w.jumps)
	}
	w.now, w.boot = w.now.Add(8*time.Second), w.boot.Add(8*time.Second) // suspended: nothing was read
	w.advance(time.Second)
	if w.jumps != 0 {
		t.Error("a suspension counts as a jump")
	}
}
