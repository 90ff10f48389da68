// Package goldentest replays golden files in tests. A golden file holds the events of a session and, below each event,
// its expected output; the flag -update rewrites the files.
package goldentest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Run replays every file that matches glob in a subtest with the name of the file. replay receives the content of a
// file, ignores the expected outputs in it, and returns the events together with their actual outputs.
func Run(t *testing.T, glob string, replay func(t *testing.T, path, script string) string) {
	t.Helper()
	paths, err := filepath.Glob(glob)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no golden files match %s: %v", glob, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			compareOrUpdate(t, path, string(want), replay(t, path, string(want)))
		})
	}
}

func compareOrUpdate(t *testing.T, path, want, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("session differs from %s (-want +got):\n%s", path, diff)
	}
}

// ReplayEvents replays a script whose events start with "> " and whose comments start with "#"; respond returns the
// output lines of an event, given its words.
func ReplayEvents(script string, respond func(words []string) []string) string {
	var out strings.Builder
	for line := range strings.Lines(script) {
		event, isEvent := strings.CutPrefix(line, "> ")
		if !isEvent && !strings.HasPrefix(line, "#") {
			continue
		}
		out.WriteString(line)
		if !isEvent {
			continue
		}
		for _, output := range respond(strings.Fields(event)) {
			out.WriteString(output + "\n")
		}
	}
	return out.String()
}
