package logstory

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// idFields are the fields that name what a story is about.
var idFields = map[string]bool{"request": true, "job": true, "item": true}

// Story collects the lines about one request, job or item, and the lines without such a name that explain them: what the
// processes believed about the upstreams that the story names.
type Story struct {
	id    string
	lines []Line
	// upstreams are named by the story's own lines.
	upstreams map[string]bool
	// upstreamLines are the lines about upstreams, jobs aside, until the story's own upstreams are known.
	upstreamLines []Line
}

// New returns an empty story about the thing with the ID.
func New(id string) *Story { return &Story{id: id, upstreams: map[string]bool{}} }

// Read takes the lines of one log file. A file without any line of a log is an error.
func (s *Story) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	number, parsed := 0, 0
	for scanner.Scan() {
		number++
		line, ok := parse(scanner.Text(), number)
		if !ok {
			continue
		}
		parsed++
		s.addLine(line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log %s, after line %d: %w", name, number, err)
	}
	if parsed == 0 {
		return fmt.Errorf("log %s: none of %d lines is an event; give files with lines of key=value pairs", name, number)
	}
	return nil
}

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

// Lines returns the story in the order of time; lines of the same time stay in the order of their files.
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

func (s *Story) namesUpstream(l Line) bool {
	for _, f := range l.Fields {
		if f.Key == "upstream" && s.upstreams[f.Value] {
			return true
		}
	}
	return false
}

// String prints a line of a story.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-22s %s", l.Time.Format("15:04:05.000"), l.Host, l.Event)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, "  %s=%s", f.Key, f.Value)
	}
	return b.String()
}
