package drain

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against new work after leaving, a stop with work in flight, and a return to ready.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.golden")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := replay(t, string(want))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != string(want) {
				t.Errorf("session differs from %s:\n%s", file, got)
			}
		})
	}
}

// replay runs the lines that start with "> " and returns them with the state below.
func replay(t *testing.T, script string) string {
	var out strings.Builder
	m := New()
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, line)
			continue
		}
		command, ok := strings.CutPrefix(line, "> ")
		if !ok {
			continue
		}
		var err error
		verb, argument, _ := strings.Cut(command, " ")
		switch verb {
		case "start":
			m = New()
		case "ready":
			m.Ready()
		case "begin":
			err = m.Begin()
		case "end":
			m.End()
		case "leave":
			m.Leave(argument)
		default:
			t.Fatalf("unknown command %q", command)
		}
		fmt.Fprintf(&out, "%s\n  state=%s in-flight=%d err=%v\n", line, m.State(), m.InFlight(), err)
	}
	return out.String()
}
