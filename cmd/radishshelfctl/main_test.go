package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/operatorapi"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// startEntry serves the operator interface of a fleet of one entry and returns its address.
func startEntry(t *testing.T) string {
	t.Helper()
	store := configstore.New(memory.New(memory.Options{}).Table)
	syncer := configsync.New(configsync.Options{
		Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "wien", Source: store, Interval: 20 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = syncer.Run(ctx)
	}()
	handler, err := operatorapi.New(operatorapi.Options{Writer: store, Reader: syncer, Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	return server.Listener.Addr().String()
}

// Guards against commands that do not reach the operator interface, and wrong exit codes or error messages.
func TestCommands(t *testing.T) {
	entry := startEntry(t)
	for _, step := range []struct {
		args string
		code int
		want string
	}{
		{"version", 0, "radishshelfctl "},
		{"--help", 0, "Exit codes"},
		{"policies set fares --field max_tokens=500", 0, "policy fares: accepted (revision 1)"},
		{"policies set fares --field open=true", 0, "revision 2"},
		{"policies get fares", 0, `{"max_tokens":500,"open":true}`},
		{"policies set fares --value {} --expected 1", 1, "current value at revision 2"},
		{"policies set fares --field", 1, "flag needs an argument"},
		{"workspaces set dispatch --value {\"policies\":[\"nope\"]}", 1, "does not exist"},
		{"workspaces set dispatch --value {\"policies\":[\"fares\"]}", 0, "accepted"},
		{"exceptions set e --scope workspace/dispatch --field max_tokens --value 9", 1, `required flag(s) "reason"`},
		{"exceptions set e --scope workspace/dispatch --field max_tokens --value 9 --reason court", 0, "accepted"},
		{"defaults get --workspace dispatch", 0, `"max_tokens": 9`},
		{"defaults set --field max_tokens=700", 0, "accepted"},
		{"keys grant --workspace dispatch", 0, "secret: rsk_"},
		{"keys list --output json", 0, `"withdrawn": false`},
		{"entries", 0, "entry-1"},
		{"roles", 1, "does not offer"},
		{"policies delete fares", 1, "refers to it"},
		{"policies set fares --value {} --expected 1 --output json", 1, `"current":{"kind":"policy","name":"fares","revision":2`},
		{"version --output json", 0, `"version":`},
		{"policies delete nope", 1, "does not exist, nothing was deleted"},
		{"policies list --output xml", 1, "write json or text"},
	} {
		var out bytes.Buffer
		args := append([]string{"--entry", entry}, strings.Fields(step.args)...)
		code := execute(t.Context(), args, &out, &out)
		if code != step.code || !strings.Contains(out.String(), step.want) {
			t.Errorf("%s: exit code %d and output %q; want %d and %q", step.args, code, out.String(), step.code, step.want)
		}
	}
}
