package logstory

import (
	"cmp"
	"io"
	"maps"
	"slices"
)

// Steps collects the time lines of all batch jobs from the log files of all processes.
type Steps struct {
	lines []Line
}

// Read reads the lines of one log file. It returns an error if no line of the file is an event.
func (s *Steps) Read(name string, r io.Reader) error {
	return readLines(name, r, func(l Line) {
		if l.field("job") != "" {
			s.lines = append(s.lines, l)
		}
	})
}

// List returns the time lines, ordered by model and time.
func (s *Steps) List() []*Step {
	slices.SortStableFunc(s.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	steps := map[string]*Step{}
	for _, l := range s.lines {
		job := l.field("job")
		step, ok := steps[job]
		if !ok {
			step = &Step{Job: job, EarlyEnds: map[string]int{}}
			steps[job] = step
		}
		step.add(l)
	}
	return slices.SortedFunc(maps.Values(steps), func(a, b *Step) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job))
	})
}

// add applies a line about the step's job. Lines come in the order of their time.
func (s *Step) add(l Line) {
	switch l.Event {
	case "job accepted":
		s.Model, s.Number, s.Accepted = l.field("model"), l.field("step"), l.Time
		s.Ownerships = append(s.Ownerships, Ownership{Host: l.field("owner"), From: l.Time, assigned: true})
	case "job taken over":
		s.takenOver(l)
	case "job handed over":
		if n := len(s.Ownerships); n > 0 {
			s.Ownerships[n-1].Until = l.Time
		}
	case "job ended by its caller":
		if s.Ended.IsZero() {
			s.Ended = l.Time
		}
	case "text complete":
		s.Runs++
		if l.field("optional") != "true" && s.Ended.IsZero() {
			s.LastText = Text{
				Item: l.field("item"), Host: l.Host, Upstream: l.field("upstream"), Complete: l.Time,
				FirstEvent: l.field("from_event"), Events: l.field("events"),
			}
		}
	case "run ended early":
		s.EarlyEnds[l.field("reason")]++
	}
}

// takenOver begins a new ownership. A host that takes over a job that was accepted for it only begins to run it; one that
// takes its own job over later has been restarted.
func (s *Step) takenOver(l Line) {
	if n := len(s.Ownerships); n > 0 && s.Ownerships[n-1].assigned && s.Ownerships[n-1].Host == l.Host {
		s.Ownerships[n-1].From, s.Ownerships[n-1].assigned = l.Time, false
		return
	}
	s.Ownerships = append(s.Ownerships, Ownership{Host: l.Host, From: l.Time})
}

// field returns the value of a field; "" if the line does not have it.
func (l *Line) field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
