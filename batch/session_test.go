package batch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of the order of items, of what an interrupted run keeps, or of what is listed.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t, now: time.Unix(0, 0)}
		return goldentest.ReplayEvents(script, s.run)
	})
}

// session holds one job and its content.
type session struct {
	t      *testing.T
	now    time.Time
	spec   Spec
	limits Limits
	job    *Job
}

var phases = map[Phase]string{
	Waiting: "waiting", Running: "running", Scoring: "scoring", Finished: "finished", Listed: "listed",
}

// run executes one script event. Its settings are key=value words.
func (s *session) run(words []string) []string {
	args := map[string]string{}
	for _, w := range words[1:] {
		if key, value, ok := strings.Cut(w, "="); ok {
			args[key] = value
		}
	}
	number := func(key string) int {
		n, err := strconv.Atoi(args[key])
		if args[key] != "" && err != nil {
			s.t.Fatal(err)
		}
		return n
	}
	switch words[0] {
	case "job":
		s.spec = Spec{ID: "job", Desired: number("desired"), MinVersion: int64(number("min"))}
		s.limits = Limits{MaxFailures: number("failures"), SingleVersion: args["single"] == "yes"}
		return nil
	case "item":
		item := Item{ID: words[1], Group: args["group"], LengthHint: number("tokens")}
		if args["score"] == "yes" {
			item.Score = &ScoreCall{}
		}
		s.spec.Items = append(s.spec.Items, item)
		return nil
	case "own", "adopt":
		record := Record{Total: len(s.spec.Items)}
		if s.job != nil {
			record = s.job.Record
		}
		s.job = NewJob(s.spec, record, s.limits)
		return s.state()
	case "advance":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
		return nil
	case "order":
		return s.order()
	case "list":
		return s.list()
	case "left":
		return []string{fmt.Sprint("left: ", s.job.Carryover())}
	}
	p, ok := s.job.Get(words[1])
	if !ok {
		s.t.Fatalf("no item %s", words[1])
	}
	s.applyItemEvent(words[0], p, number)
	return []string{fmt.Sprintf("%s %s, %d events of versions %v", words[1], phases[p.Phase], p.Text.LastEventID(), p.Text.Versions)}
}

// applyItemEvent applies an event to one item.
func (s *session) applyItemEvent(event string, p *Progress, number func(string) int) {
	version := int64(number("version"))
	switch event {
	case "start":
		s.job.Start(p)
	case "events":
		for range number("count") {
			p.Text.Append(p.Text.LastEventID()+1, "x", version)
		}
	case "break":
		s.job.Requeue(p, s.now.Add(20*time.Millisecond), "")
	case "fail":
		s.job.RunFailed(p, s.now, "")
	case "complete":
		s.job.TextComplete(p, s.now)
	case "score":
		s.job.Scored(p, "seal")
	case "score-fails":
		s.job.ScoreFailed(p, 2)
	case "carry":
		s.job.ApplyCarryover(map[string]TextSummary{p.Item.ID: {Events: number("count"), Complete: true, Oldest: version}})
	default:
		s.t.Fatalf("no event %s", event)
	}
}

func (s *session) state() []string {
	var parts []string
	for _, p := range s.job.Items() {
		parts = append(parts, p.Item.ID+" "+phases[p.Phase])
	}
	return []string{strings.Join(parts, ", ")}
}

func (s *session) order() []string {
	var list []Candidate
	for _, p := range s.job.Waiting(s.now) {
		list = append(list, Candidate{Job: s.job, Item: p})
	}
	SortCandidates(list)
	var ids []string
	for _, c := range list {
		id := c.Item.Item.ID
		if s.job.Optional(c.Item) {
			id += " (optional)"
		}
		ids = append(ids, id)
	}
	return []string{"next: " + strings.Join(ids, ", ")}
}

func (s *session) list() []string {
	var lines []string
	results := s.job.Unlisted()
	for i, r := range results {
		lines = append(lines, fmt.Sprintf("%d: %s %s %v score %q", s.job.Record.Listed+i, r.ID, r.State, r.Versions, r.Score))
	}
	s.job.Record.Done = s.job.DoneAfterListing(len(results))
	s.job.Record.Listed += len(results)
	s.job.MarkListed(len(results))
	return append(lines, fmt.Sprintf("complete: %v", s.job.Complete()))
}
