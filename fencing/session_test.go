package fencing

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against a gate that accepts an order from a former role holder, including after a restart, and against an
// intent that is finished under another ID or by a former holder.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string { return replay(t, script) })
}

// replay runs the commands, which start with "> ", and returns each followed by its result.
func replay(t *testing.T, script string) string {
	var out strings.Builder
	gate := NewGate(0)
	var intent Intent
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
		fmt.Fprintln(&out, line)
		fmt.Fprintln(&out, "  "+runCommand(t, command, &gate, &intent))
	}
	return out.String()
}

func runCommand(t *testing.T, command string, gate **Gate, intent *Intent) string {
	var verb, name string
	var a, b int64
	if n, _ := fmt.Sscanf(command, "learn %s %d %d", &name, &a, &b); n == 3 {
		(*gate).Learn(name, Token{Term: a, Revision: b})
		return gateState(*gate, nil)
	}
	if n, _ := fmt.Sscanf(command, "accept %d %d", &a, &b); n == 2 {
		return gateState(*gate, (*gate).Accept(Token{Term: a, Revision: b}))
	}
	if n, _ := fmt.Sscanf(command, "plan %s %d", &name, &a); n == 2 {
		*intent = NewIntent(name, "orders", a, json.RawMessage(`{}`))
		return intentState(*intent, nil)
	}
	fmt.Sscanf(command, "%s %d", &verb, &a)
	var err error
	switch verb {
	case "restart":
		*gate = NewGate(int(a))
		return gateState(*gate, nil)
	case "force-ready":
		(*gate).ForceReady()
		return gateState(*gate, nil)
	case "adopt":
		*intent, err = intent.Adopt(a)
	case "finish":
		*intent, err = intent.Finish(a)
	default:
		t.Fatalf("unknown command %q", command)
	}
	return intentState(*intent, err)
}

func gateState(g *Gate, err error) string {
	return fmt.Sprintf("ready=%v highest=%d/%d err=%v", g.Ready(), g.Highest().Term, g.Highest().Revision, err)
}

func intentState(i Intent, err error) string {
	return fmt.Sprintf("id=%s term=%d state=%s err=%v", i.ID, i.Term, i.State, err)
}
