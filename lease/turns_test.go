package lease

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// turnsConfig is the timing of a role whose receivers do not check the term.
func turnsConfig(host, incarnation string) Config {
	return Config{
		Candidate: host + "#" + incarnation, Duration: 3 * time.Second, RenewInterval: 660 * time.Millisecond,
		ActWindow:       1800 * time.Millisecond,
		IsPredecessor:   func(holder string) bool { return strings.HasPrefix(holder, host+"#") },
		PredecessorWait: 700 * time.Millisecond, ReturnWait: 3700 * time.Millisecond,
	}
}

// turnsHost is a host whose process may end and start again.
type turnsHost struct {
	name        string
	incarnation int
	c           *Candidate // nil while no process runs
	queued      *Action
}

// Guards against a holder that acts again before its wait is over although another host has acted in between, under any
// series of stops, kills, starts and lost replies.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var row Observation
		hosts := []*turnsHost{{name: "a"}, {name: "b"}, {name: "c"}}
		lastActed := map[string]time.Time{}
		acting := ""
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			h := rapid.SampledFrom(hosts).Draw(rt, "host")
			if h.c == nil {
				if rapid.IntRange(0, 2).Draw(rt, "start") == 0 {
					h.incarnation++
					c, err := New(turnsConfig(h.name, strings.Repeat("i", h.incarnation)))
					if err != nil {
						rt.Fatal(err)
					}
					h.c = c
				}
				continue
			}
			var actions []Action
			verbs := []string{"tick", "tick", "run", "run", "run", "lose", "stop", "kill", "wait", "wait"}
			switch rapid.SampledFrom(verbs).Draw(rt, "verb") {
			case "tick":
				actions = h.c.Tick(now)
			case "run":
				actions = h.execute(&row, now, false)
			case "lose":
				if rapid.IntRange(0, 4).Draw(rt, "rare") == 0 {
					actions = h.execute(&row, now, true)
				}
			case "stop":
				if h.c.inFlight {
					continue
				}
				for _, a := range h.c.Release(now) {
					if a.Kind == ActionWrite {
						h.queued = &a
						h.execute(&row, now, false)
					}
				}
				h.c, h.queued = nil, nil
				continue
			case "kill":
				if rapid.IntRange(0, 4).Draw(rt, "rare") == 0 {
					h.c, h.queued = nil, nil
				}
				continue
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms")) * time.Millisecond)
			}
			for _, a := range actions {
				if a.Kind == ActionRead || a.Kind == ActionWrite {
					h.queued = &a
				}
			}
			if _, ok := h.c.MayAct(now); !ok {
				continue
			}
			if last, acted := lastActed[h.name]; acted && acting != h.name && now.Sub(last) < h.c.cfg.ReturnWait {
				rt.Fatalf("%s acts again after %s, %s acted in between", h.name, now.Sub(last), acting)
			}
			acting = h.name
			lastActed[h.name] = now
		}
	})
}

func (h *turnsHost) execute(row *Observation, now time.Time, loseReply bool) []Action {
	s := simCandidate{c: h.c, queued: h.queued}
	h.queued = nil
	return s.execute(row, now, loseReply)
}

// Guards against a role that nobody holds for the lease duration although no other host has acted since the last
// tenure of the candidate, or although the candidate never held it.
func TestReleasedRoleIsFreeAtOnce(t *testing.T) {
	for _, host := range []string{"a", "b"} {
		row := Observation{}
		now := time.Unix(100, 0)
		first := mustAcquire(t, turnsConfig("a", "1"), &row, &now)
		write := first.Release(now)
		first.Written(row.Revision+1, now)
		row = Observation{Revision: row.Revision + 1, Record: write[0].Record}
		released := now
		mustAcquire(t, turnsConfig(host, "2"), &row, &now)
		if took := now.Sub(released); took > 200*time.Millisecond {
			t.Errorf("%s took the role %s after its release by a", host, took)
		}
	}
}

// mustAcquire starts a candidate and drives it until it holds the role.
func mustAcquire(t *testing.T, cfg Config, row *Observation, now *time.Time) *Candidate {
	t.Helper()
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s := simCandidate{c: c}
	for deadline := now.Add(time.Minute); now.Before(deadline); *now = now.Add(50 * time.Millisecond) {
		for _, a := range c.Tick(*now) {
			s.queued = &a
			s.execute(row, *now, false)
		}
		if _, ok := c.MayAct(*now); ok {
			return c
		}
	}
	t.Fatalf("%s never holds the role", cfg.Candidate)
	return nil
}
