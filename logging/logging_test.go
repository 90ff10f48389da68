package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Guards against an event that spans several lines or whose values cannot be parsed.
func TestOneLinePerEvent(t *testing.T) {
	var buf bytes.Buffer
	log, err := New(&buf, "test", "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Info().Str("reason", "two words\nand a line").Int("count", 3).Str("caller", "127.0.0.1:7001").Msg("lot sealed")
	log.Debug().Msg("hidden")
	line := buf.String()
	if strings.Count(line, "\n") != 1 {
		t.Fatalf("want one line, got %q", line)
	}
	for _, want := range []string{`level=info`, `event="lot sealed"`, `count=3`, `caller=127.0.0.1:7001`, `reason="two words\nand a line"`, `program=test`} {
		if !strings.Contains(line, want) {
			t.Errorf("line %q lacks %s", line, want)
		}
	}
}

// Guards against a line whose length is set by input from outside, such as an error that quotes a row.
func TestLongValuesAreCut(t *testing.T) {
	var buf bytes.Buffer
	log, err := New(&buf, "test", "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Warn().Err(errors.New(strings.Repeat("9", 1<<20))).Str("key", "u-1").Msg("row skipped")
	if line := buf.String(); len(line) > 2*maxValueBytes || !strings.Contains(line, "key=u-1") || !strings.Contains(line, "(1048576 bytes)") {
		t.Errorf("a line of %d bytes", len(line))
	}
}
