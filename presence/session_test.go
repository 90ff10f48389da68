package presence

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of which processes count as dead, and when.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t, view: NewView(peerTimeout), now: time.Unix(100, 0)}
		s.view.Tick(s.now, true)
		return goldentest.ReplayEvents(script, s.run)
	})
}

type session struct {
	t    *testing.T
	view *View
	now  time.Time
}

func (s *session) run(words []string) []string {
	switch words[0] {
	case "beat": // beat HOST INCARNATION SEQUENCE
		n, err := strconv.ParseInt(words[3], 10, 64)
		if err != nil {
			s.t.Fatal(err)
		}
		s.view.Observe(Heartbeat{Host: words[1], Incarnation: words[2], Sequence: n})
	case "forget":
		s.view.Forget(words[1])
	case "advance", "outage", "frozen":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		if words[0] == "frozen" { // no ticks in the meantime
			s.now = s.now.Add(d)
			s.view.Tick(s.now, true)
			break
		}
		s.now = advance(s.view, s.now, d, words[0] == "advance")
	case "alive": // alive HOST INCARNATION
		return []string{fmt.Sprint(s.view.Alive(words[1], words[2]))}
	default:
		s.t.Fatalf("no event %s", words[0])
	}
	return nil
}
