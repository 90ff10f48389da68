package textmove

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of what makes a text move: each session names the load that it answers.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t, now: time.Unix(0, 0)}
		return goldentest.ReplayEvents(script, s.run)
	})
}

// session holds the knowledge of one host.
type session struct {
	t       *testing.T
	now     time.Time
	periods SlowPeriods
	restart RestartTime
	// paces holds the last observed pace of each engine.
	paces map[string]time.Duration
}

// run executes one event. Its first word is the time since the start of the session.
func (s *session) run(words []string) []string {
	s.now = time.Unix(0, 0).Add(s.duration(words[0]))
	args := map[string]string{}
	for _, w := range words[2:] {
		key, value, _ := strings.Cut(w, "=")
		args[key] = value
	}
	switch words[1] {
	case "pace":
		return []string{s.observe(args)}
	case "restart":
		s.restart.Observe(s.duration(args["took"]))
		return []string{fmt.Sprint("  restarts take ", s.restart.Estimate())}
	case "text":
		return []string{s.decide(args)}
	default:
		s.t.Fatalf("unknown event %q", words[1])
		return nil
	}
}

func (s *session) observe(args map[string]string) string {
	engine := args["engine"]
	if s.paces == nil {
		s.paces = map[string]time.Duration{}
	}
	s.paces[engine] = s.duration(args["pace"])
	s.periods.Observe(engine, s.paces[engine], s.duration(args["elsewhere"]), s.now)
	if slow, ok := s.periods.Duration(engine, s.now); ok {
		return fmt.Sprintf("  %s slow for %s", engine, slow)
	}
	return fmt.Sprintf("  %s not slow", engine)
}

func (s *session) decide(args map[string]string) string {
	slow, ok := s.periods.Duration(args["at"], s.now)
	if !ok && args["queued"] == "" {
		return "  stays"
	}
	c := Candidate{
		Pace: s.paces[args["at"]], SlowFor: slow, Restart: s.restart.Estimate(),
		Target: Engine{Pace: s.duration(args["target"])},
	}
	for key, field := range map[string]*int{
		"remaining": &c.RemainingEvents, "moves": &c.Moves, "requests": &c.Target.Requests, "slots": &c.Target.Slots,
	} {
		if _, err := fmt.Sscan(args[key], field); err != nil && args[key] != "" {
			s.t.Fatal(err)
		}
	}
	if args["queued"] != "" {
		c.Queued = s.duration(args["queued"])
	}
	verdict := "stays"
	if c.IsWorthwhile() {
		verdict = "moves"
	}
	return fmt.Sprintf("  %s: saves %s of %s", verdict, c.Saving().Round(time.Millisecond), c.RequiredSaving())
}

func (s *session) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}
