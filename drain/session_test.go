package drain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against requests that are admitted while leaving, a stop with requests in flight, and a return to ready.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string { return replay(t, script) })
}

// replay runs the commands, which start with "> ", and returns each followed by the resulting state.
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
