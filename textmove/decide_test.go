package textmove

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func candidate(t *rapid.T) Candidate {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	return Candidate{
		RemainingEvents: rapid.IntRange(1, 400).Draw(t, "remaining"), Moves: rapid.IntRange(0, 5).Draw(t, "moves"),
		Queued: ms("queued", 2000) * time.Duration(rapid.IntRange(0, 1).Draw(t, "is queued")), Pace: ms("pace", 500), SlowFor: ms("slow for", 10_000), Restart: ms("restart", 1000),
		Target: Engine{Pace: ms("target", 500), Requests: rapid.IntRange(0, 30).Draw(t, "requests"), Slots: rapid.IntRange(0, 30).Draw(t, "slots")},
	}
}

// Guards against a move that cannot save what it has to, even if the engine stays slow to the end of the text, and against
// a move to an engine without a free slot or one that is not faster.
func TestMoveSavesWhatItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := candidate(t)
		if !c.IsWorthwhile() {
			return
		}
		most := time.Duration(c.RemainingEvents) * (c.Pace - c.Target.Pace)
		if c.Queued > 0 {
			most = c.Queued
		} else if c.Target.Pace >= c.Pace {
			t.Fatalf("%+v moves to an engine that is not faster", c)
		}
		if most < minSaving || c.Target.Requests >= c.Target.Slots {
			t.Fatalf("%+v moves; it can save %s", c, most)
		}
	})
}

// Guards against a text that moves although a reason to stay was added: less to generate, a shorter slow period, earlier
// moves, a fuller or slower target, a longer restart.
func TestMoreReasonToStayNeverMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := candidate(t)
		worse := c
		more := time.Duration(rapid.IntRange(0, 500).Draw(t, "more")) * time.Millisecond
		switch rapid.IntRange(0, 5).Draw(t, "reason") {
		case 0:
			worse.RemainingEvents /= 2
		case 1:
			worse.SlowFor /= 2
		case 2:
			worse.Moves++
		case 3:
			worse.Target.Requests++
		case 4:
			worse.Target.Pace += more
		case 5:
			worse.Restart += more
		}
		if worse.IsWorthwhile() && !c.IsWorthwhile() && worse.Target.Pace > 0 && c.Target.Pace > 0 {
			t.Fatalf("%+v stays, %+v moves", c, worse)
		}
	})
}

// Guards against a run time that is dominated by one late first event, or by the load of long ago.
func TestRestartTimeFollowsTheLastRuns(t *testing.T) {
	var r RestartTime
	if r.Estimate() != defaultRestart {
		t.Errorf("%s without a run, want %s", r.Estimate(), defaultRestart)
	}
	for range 1000 {
		r.Observe(time.Second)
	}
	r.Observe(0)
	if r.Estimate() < 900*time.Millisecond {
		t.Errorf("one quick start lowers the estimate to %s", r.Estimate())
	}
	for range 4 * restartSamples {
		r.Observe(50 * time.Millisecond)
	}
	if r.Estimate() > 100*time.Millisecond {
		t.Errorf("%s after many starts of 50 ms", r.Estimate())
	}
}

// Guards against slow periods of engines that are gone.
func TestSlowPeriodsAreDropped(t *testing.T) {
	var s SlowPeriods
	now := time.Unix(0, 0)
	s.Observe("e1", 2, 1, now)
	s.Observe("e2", 2, 1, now)
	s.Retain(func(engine string) bool { return engine == "e2" })
	if d, slow := s.Duration("e1", now.Add(1)); slow || d != 0 {
		t.Errorf("e1 is still slow (%v), for %s", slow, d)
	}
	if d, slow := s.Duration("e2", now.Add(1)); !slow || d != 1 {
		t.Errorf("e2 slow for %s (%v), want 1ns", d, slow)
	}
}
