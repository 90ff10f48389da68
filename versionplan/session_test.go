package versionplan

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of which upstream loads which version, and when.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t, fleet: newFleet(0), published: map[string]int64{}}
		return goldentest.ReplayEvents(script, s.run)
	})
}

// session is a fleet whose upstreams complete a load when the script says so.
type session struct {
	t *testing.T
	*fleet
	models    []string
	published map[string]int64
}

func (s *session) run(words []string) []string {
	switch words[0] {
	case "fleet": // fleet UPSTREAMS MODEL...
		n, err := strconv.Atoi(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.models = words[2:]
		s.fleet = newFleet(n, s.models...)
	case "published":
		s.published[words[1]]++
		return []string{fmt.Sprintf("version %d of %s", s.published[words[1]]+1, words[1])}
	case "next":
		return s.next()
	case "answer": // answer UPSTREAM accepted|refused
		p := s.planner.pending[words[1]]
		if words[2] == "accepted" {
			s.planner.Accepted(p.load, s.now)
		} else {
			s.planner.Refused(p.load)
		}
	case "serves": // the upstream's entry shows the ordered version
		s.completeLoad(s.planner.pending[words[1]].load)
	case "down":
		for i := range s.list {
			if s.list[i].ID == words[1] {
				s.list[i].Usable = false
			}
		}
	case "load": // load all: the usable upstreams load what they have to
		s.loadAll()
	case "loading":
		return []string{strconv.Itoa(s.planner.Loading(s.now))}
	case "advance":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
	default:
		s.t.Fatalf("no event %s", words[0])
	}
	return nil
}

func (s *session) demands() []Demand {
	var demands []Demand
	for _, m := range s.models {
		newest := s.published[m] + 1
		demands = append(demands, Demand{Model: m, Newest: newest, MinVersion: newest - 1})
	}
	return demands
}

func (s *session) loadAll() { s.runUntilIdle(s.t, s.demands()) }

// next sends the orders that are due.
func (s *session) next() []string {
	var lines []string
	for _, l := range s.planner.NextLoads(s.list, s.demands(), s.now) {
		s.planner.Sent(l, s.now)
		trial := ""
		if l.Trial {
			trial = " as a trial"
		}
		lines = append(lines, fmt.Sprintf("%s loads version %d of %s%s, expecting %d orders before", l.Upstream, l.Version, l.Model, trial, l.ExpectedOrders))
	}
	if lines == nil {
		return []string{"nothing"}
	}
	return lines
}
