package logstory

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// idFields are the fields whose value is the ID of a request, job or item.
var idFields = map[string]bool{"request": true, "job": true, "item": true}

// Story is the history of one request, job or item. It collects the lines that carry its ID and, as context, lines
// without an ID about the upstreams that those lines name.
type Story struct {
	id    string
	lines []Line
	// upstreams are the upstreams named in lines.
	upstreams map[string]bool
	// upstreamLines are all lines that name an upstream and carry no ID. Lines selects from them, because upstreams is
	// complete only after all files are read.
	upstreamLines []Line
}

// New returns an empty Story of the request, job or item with the given ID.
func New(id string) *Story { return &Story{id: id, upstreams: map[string]bool{}} }

// Read reads the lines of one log file. It returns an error if no line of the file is an event.
func (s *Story) Read(name string, r io.Reader) error { return readLines(name, r, s.addLine) }

// addLine keeps a line that carries the ID of the story, or that names an upstream and carries no ID.
func (s *Story) addLine(line Line) {
	matches, hasID := false, false
	upstream := ""
	for _, f := range line.Fields {
		if idFields[f.Key] {
			hasID = true
			matches = matches || f.Value == s.id
		}
		if f.Key == "upstream" {
			upstream = f.Value
		}
	}
	switch {
	case matches:
		s.lines = append(s.lines, line)
		if upstream != "" {
			s.upstreams[upstream] = true
		}
	case !hasID && upstream != "":
		s.upstreamLines = append(s.upstreamLines, line)
	}
}

// Lines returns the lines of the story ordered by time. Lines with the same time that carry the ID stay in the order in
// which they were read. Lines about upstreams are included if their time is within the time range of the others.
func (s *Story) Lines() []Line {
	lines := append([]Line(nil), s.lines...)
	if len(lines) > 0 {
		first, last := timeRange(lines)
		for _, b := range s.upstreamLines {
			if !b.Time.Before(first) && !b.Time.After(last) && s.namesUpstream(b) {
				lines = append(lines, b)
			}
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines
}

// timeRange returns the earliest and the latest time of lines, which must not be empty.
func timeRange(lines []Line) (first, last time.Time) {
	first, last = lines[0].Time, lines[0].Time
	for _, l := range lines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return first, last
}

// namesUpstream reports whether the line names one of the upstreams of the story.
func (s *Story) namesUpstream(l Line) bool {
	for _, f := range l.Fields {
		if f.Key == "upstream" && s.upstreams[f.Value] {
			return true
		}
	}
	return false
}

// String formats the line for display, without its date.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-22s %s", l.Time.Format("15:04:05.000"), l.Host, l.Event)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, "  %s=%s", f.Key, f.Value)
	}
	return b.String()
}
