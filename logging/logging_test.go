package logging

import (
	"bytes"
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
