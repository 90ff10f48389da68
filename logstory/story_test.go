package logstory

import (
	"strings"
	"testing"
)

const logA = `  12.3 edge-1 time=2026-01-01T00:00:01.5Z level=info event="run ended early" host=edge-1 item=i1 job=j1 error="no event in \"time\"" upstream=u1
time=2026-01-01T00:00:00.1Z level=info event="job accepted" host=edge-1 job=j1
time=2026-01-01T00:00:00.2Z level=info event="job accepted" host=edge-1 job=j2
not a line of a log`

const logB = `time=2026-01-01T00:00:01Z level=warn event="upstream suspect" host=edge-2 upstream=u1 reason=silent
time=2026-01-01T00:00:01Z level=warn event="upstream suspect" host=edge-2 upstream=u9 reason=silent
time=2026-01-01T00:00:09Z level=info event="job taken over" host=edge-2 job=j1 from=edge-1`

// Guards against a story that lacks the lines of another process, or that includes lines of other jobs and upstreams.
func TestStoryAcrossFiles(t *testing.T) {
	s := New("j1")
	for name, text := range map[string]string{"a": logA, "b": logB} {
		if err := s.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	var events []string
	for _, l := range s.Lines() {
		events = append(events, l.Event)
	}
	want := "job accepted, upstream suspect, run ended early, job taken over"
	if got := strings.Join(events, ", "); got != want {
		t.Errorf("story: %s\nwant:  %s", got, want)
	}
	if line := s.Lines()[2].String(); !strings.Contains(line, `error=no event in "time"`) {
		t.Errorf("line = %s, want the unquoted error", line)
	}
}

// Guards against an empty story without an error for a file that is not a log file.
func TestReadRejectsFileWithoutEvents(t *testing.T) {
	if err := New("j1").Read("x", strings.NewReader("{}\nhello\n")); err == nil {
		t.Error("Read accepts a file without events")
	}
}

// Guards against input that makes parse panic or return a line without an event.
func FuzzParse(f *testing.F) {
	f.Add(logA)
	f.Add(`event="a`)
	f.Add(`event=\"`)
	f.Fuzz(func(t *testing.T, text string) {
		if line, ok := parse(text, 1); ok && line.Event == "" {
			t.Error("parse accepts a line without an event")
		}
	})
}
