package upstreams

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of how long an upstream stays in use after its entry expired.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t, view: NewView(), now: time.Unix(100, 0)}
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
	case "entry":
		s.view.Put(Entry{ID: words[1], Service: "desk", State: State(words[2])})
	case "incarnation": // an entry of a later incarnation of the upstream
		born, err := strconv.ParseInt(words[2], 10, 64)
		if err != nil {
			s.t.Fatal(err)
		}
		s.view.Put(Entry{ID: words[1], Service: "desk", State: Ready, Born: born})
	case "answer-leaving":
		s.view.MarkLeaving(words[1], 0)
	case "removed":
		s.view.Remove(words[1], s.now)
	case "unreadable":
		s.view.Discard(words[1])
	case "read": // the whole table
		var list []Entry
		for _, id := range words[1:] {
			list = append(list, ready(id))
		}
		s.view.Replace(list, s.now)
	case "store-lost":
		s.view.StoreUnavailable()
	case "store-back":
		s.view.StoreAvailable(s.now)
	case "advance":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
	default:
		s.t.Fatalf("no event %s", words[0])
	}
	var lines []string
	if expired := s.view.Expire(s.now); len(expired) > 0 {
		lines = append(lines, "gone: "+strings.Join(expired, " "))
	}
	var usable []string
	for _, e := range s.view.Ready("desk") {
		usable = append(usable, e.ID)
	}
	if len(usable) == 0 {
		return append(lines, "none usable")
	}
	return append(lines, fmt.Sprintf("usable: %s", strings.Join(usable, " ")))
}
