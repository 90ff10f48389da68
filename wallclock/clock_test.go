package wallclock

import (
	"testing"
	"time"
)

// world is a host with a true time, a steady clock and a time of day that is off by an error.
type world struct {
	clock  Clock
	now    time.Time
	steady time.Time
	err    time.Duration
	jumps  int
}

func newWorld() *world { return &world{now: time.Unix(1_700_000_000, 0), steady: time.Unix(500, 0)} }

// pass lets time pass with readings each 100 ms and returns the largest error of the believed time.
func (w *world) pass(d time.Duration) (worst time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now, w.steady = w.now.Add(100*time.Millisecond), w.steady.Add(100*time.Millisecond)
		believed, _, jumped := w.clock.Read(w.now.Add(w.err), w.steady)
		if jumped {
			w.jumps++
		}
		worst = max(worst, believed.Sub(w.now).Abs())
	}
	return worst
}

// Pattern: the time of day jumps by seconds, forward or backward, and back again, in series.
func TestJumpsAreNotFollowed(t *testing.T) {
	w := newWorld()
	w.pass(time.Second)
	for _, jump := range []time.Duration{5 * time.Second, -4 * time.Second, 700 * time.Millisecond, 30 * time.Second} {
		w.err = jump
		if worst := w.pass(20 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s the believed time is off by %s", jump, worst)
		}
		w.err = 0
		if worst := w.pass(5 * time.Second); worst > 0 {
			t.Errorf("after a jump of %s and back the believed time is off by %s", jump, worst)
		}
	}
	if w.jumps != 8 {
		t.Errorf("%d jumps were noticed, want 8", w.jumps)
	}
}

// Guards against a clock that stays wrong for ever because it was wrong at the start and was then corrected.
func TestCorrectionIsBelievedInTheEnd(t *testing.T) {
	w := newWorld()
	w.err = 10 * time.Second
	w.pass(time.Second)
	w.err = 0
	w.pass(believeAfter + time.Second)
	if worst := w.pass(time.Second); worst > 0 {
		t.Errorf("the believed time is off by %s after the correction has lasted for a minute", worst)
	}
}

// Guards against a believed time that runs away from a clock with a slightly different rate, and that misses a suspension.
func TestDriftAndSuspension(t *testing.T) {
	w := newWorld()
	for range 1000 {
		w.err += time.Millisecond
		w.pass(100 * time.Millisecond)
	}
	if w.jumps != 0 {
		t.Errorf("a slow drift counts as %d jumps", w.jumps)
	}
	w.now, w.steady = w.now.Add(8*time.Second), w.steady.Add(8*time.Second) // suspended: nothing was read
	w.pass(time.Second)
	if w.jumps != 0 {
		t.Error("a suspension counts as a jump")
	}
}
