package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// TestSessions replays the scripts in testdata. A line is a command; what follows "=>" is its output. Guards against
// unreviewed changes of which candidate may act, and when.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := newSession(t)
		var out strings.Builder
		for line := range strings.Lines(script) {
			out.WriteString(s.run(strings.TrimSpace(strings.Split(line, "=>")[0])))
		}
		return out.String()
	})
}

// session holds one row and the candidates that compete for it.
type session struct {
	t          *testing.T
	now        time.Time
	start      time.Time
	row        Observation
	candidates map[string]*Candidate
	queued     map[string]Action
}

func newSession(t *testing.T) *session {
	start := time.Unix(0, 0).UTC()
	return &session{t: t, now: start, start: start, candidates: map[string]*Candidate{}, queued: map[string]Action{}}
}

func (s *session) run(line string) string {
	if line == "" || strings.HasPrefix(line, "#") {
		return line + "\n"
	}
	fields := strings.Fields(line)
	out := s.command(fields)
	if out == "" {
		return line + "\n"
	}
	return fmt.Sprintf("%-24s => %s\n", line, out)
}

func (s *session) command(fields []string) string {
	if fields[0] == "advance" {
		d, err := time.ParseDuration(fields[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return "now " + s.now.Sub(s.start).String()
	}
	name, verb := fields[0], fields[1]
	if verb == "joins" {
		c, err := New(DefaultConfig(name))
		if err != nil {
			s.t.Fatal(err)
		}
		s.candidates[name] = c
		return ""
	}
	c := s.candidates[name]
	switch verb {
	case "ticks":
		return s.queueActions(name, c.Tick(s.now))
	case "releases":
		return s.queueActions(name, c.Release(s.now))
	case "executes":
		return s.execute(name, c, false)
	case "loses-reply":
		return s.execute(name, c, true)
	case "cannot-reach-table":
		delete(s.queued, name)
		return s.queueActions(name, c.Failed(false, s.now))
	case "may-act?":
		term, ok := c.MayAct(s.now)
		return fmt.Sprintf("%v term=%d", ok, term)
	}
	s.t.Fatalf("unknown command %q", fields)
	return ""
}

func (s *session) queueActions(name string, actions []Action) string {
	texts := make([]string, 0, len(actions))
	for _, a := range actions {
		if a.Kind == ActionRead || a.Kind == ActionWrite {
			s.queued[name] = a
		}
		texts = append(texts, a.String())
	}
	if len(texts) == 0 {
		return "-"
	}
	return strings.Join(texts, "; ")
}

// execute applies the queued operation to the row; with loseReply the candidate does not learn the result.
func (s *session) execute(name string, c *Candidate, loseReply bool) string {
	a := s.queued[name]
	delete(s.queued, name)
	if a.Kind == ActionRead {
		return s.queueActions(name, c.Observed(s.row, s.now))
	}
	committed := a.Revision == s.row.Revision
	if committed {
		s.row = Observation{Revision: s.row.Revision + 1, Record: a.Record}
	}
	switch {
	case loseReply:
		return s.queueActions(name, c.Failed(true, s.now))
	case committed:
		return s.queueActions(name, c.Written(s.row.Revision, s.now))
	default:
		return s.queueActions(name, c.Rejected(s.now))
	}
}
