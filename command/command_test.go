package command

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/settings"
)

// Guards against exit codes that do not let a deployment script distinguish invalid settings from other failures.
func TestExitCodes(t *testing.T) {
	p := Program{
		Name: "probe", Short: "test program",
		Check: func(path string) error {
			if path == "bad.json" {
				return errors.Join(&settings.Error{Kind: settings.KindMissing, Field: "name", Problem: "missing", Remedy: "set it"})
			}
			return nil
		},
		Run: func(context.Context, string, string) error { return errors.New("port in use") },
	}
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, ExitOK, "probe "},
		{[]string{"check-settings", "good.json"}, ExitOK, "good.json: ok"},
		{[]string{"check-settings", "bad.json"}, ExitSettings, `field "name"`},
		{[]string{"run", "--settings", "x"}, ExitFailure, "port in use"},
		{[]string{"--help"}, ExitOK, "check-settings"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		if code := Execute(t.Context(), p, tt.args, &out, &out); code != tt.code {
			t.Errorf("%v: exit code %d, want %d", tt.args, code, tt.code)
		}
		if !strings.Contains(out.String(), tt.want) {
			t.Errorf("%v: output %q lacks %q", tt.args, out.String(), tt.want)
		}
	}
}
