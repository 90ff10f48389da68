package admission

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden sessions")

// runSession replays a golden file: "> " starts an event, "# " a comment, and the lines after an event are what
// respond returned for it.
func runSession(t *testing.T, file string, respond func(t *testing.T, fields []string) []string) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(want)) {
		event, isEvent := strings.CutPrefix(line, "> ")
		if !isEvent && !strings.HasPrefix(line, "#") {
			continue
		}
		got.WriteString(line)
		if !isEvent {
			continue
		}
		for _, answer := range respond(t, strings.Fields(event)) {
			got.WriteString(answer + "\n")
		}
	}
	if *update {
		if err := os.WriteFile(file, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("%s (-want +got):\n%s", file, diff)
	}
}
