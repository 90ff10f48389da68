package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simCandidate is a candidate with its own clock offset and at most one operation queued for the table.
type simCandidate struct {
	c      *Candidate
	offset time.Duration
	queued *Action
	// lastMayAct is the last time, in simulation time, at which MayAct may return true for the candidate.
	lastMayAct time.Time
	everHeld   bool
}

// Guards against two candidates that act with less than the required gap between them, under any interleaving of ticks,
// freezes, lost replies, refused operations and releases, and with clocks that differ by hours.
func TestHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var row Observation
		sims := make([]*simCandidate, 3)
		for i := range sims {
			c, err := New(DefaultConfig(string(rune('a' + i))))
			if err != nil {
				rt.Fatal(err)
			}
			sims[i] = &simCandidate{c: c, offset: time.Duration(i) * 5 * time.Hour}
		}
		released := map[*simCandidate]bool{}
		steps := rapid.IntRange(20, 250).Draw(rt, "steps")
		for range steps {
			s := sims[rapid.IntRange(0, len(sims)-1).Draw(rt, "candidate")]
			local := now.Add(s.offset)
			var actions []Action
			switch rapid.SampledFrom([]string{"tick", "tick", "run", "run", "lose", "fail", "release", "wait"}).Draw(rt, "verb") {
			case "tick":
				actions = s.c.Tick(local)
			case "run":
				actions = s.execute(&row, local, false)
			case "lose":
				actions = s.execute(&row, local, true)
			case "fail":
				if s.queued != nil {
					s.queued = nil
					actions = s.c.Failed(false, local)
				}
			case "release":
				if rapid.IntRange(0, 9).Draw(rt, "rare") == 0 && s.c.holding && !s.c.inFlight && !s.c.inDoubt {
					actions = s.c.Release(local)
					released[s] = true
					s.lastMayAct = now
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 45_000).Draw(rt, "ms")) * time.Millisecond)
			}
			for _, a := range actions {
				switch a.Kind {
				case ActionRead, ActionWrite:
					s.queued = &a
				case ActionAcquired:
					checkGap(rt, sims, s, released, now)
				}
			}
			recordMayAct(s, now)
		}
	})
}

func recordMayAct(s *simCandidate, now time.Time) {
	if _, ok := s.c.MayAct(now.Add(s.offset)); ok {
		s.everHeld = true
		s.lastMayAct = s.c.actUntil.Add(-s.offset)
	}
}

// checkGap checks the time between the last possible MayAct of every other candidate and the acquisition.
func checkGap(rt *rapid.T, sims []*simCandidate, acquired *simCandidate, released map[*simCandidate]bool, now time.Time) {
	cfg := acquired.c.cfg
	gap := cfg.Duration - cfg.ActWindow + cfg.PauseTolerance
	for _, other := range sims {
		if other == acquired || !other.everHeld {
			continue
		}
		want := gap
		if released[other] {
			want = 0
		}
		if got := now.Sub(other.lastMayAct); got < want {
			rt.Fatalf("%s acquired %s after the last check of %s; want at least %s",
				acquired.c.cfg.Candidate, got, other.c.cfg.Candidate, want)
		}
	}
}

func (s *simCandidate) execute(row *Observation, local time.Time, loseReply bool) []Action {
	if s.queued == nil {
		return nil
	}
	a := *s.queued
	s.queued = nil
	if a.Kind == ActionRead {
		return s.c.Observed(*row, local)
	}
	committed := a.Revision == row.Revision
	if committed {
		*row = Observation{Revision: row.Revision + 1, Record: a.Record}
	}
	switch {
	case loseReply:
		return s.c.Failed(true, local)
	case committed:
		return s.c.Written(row.Revision, local)
	default:
		return s.c.Rejected(local)
	}
}
