package entry

import (
	"errors"
	"testing"

	"github.com/radishshelf/radishshelf/settings"
)

const validSettings = `"name":"entry-1","data_centre":"sudur","region":"sudur","status_address":"127.0.0.1:1",
"caller_address":"127.0.0.1:2","operator_address":"127.0.0.1:3","peer_address":"127.0.0.1:4","platform_address":"127.0.0.1:5"`

// Guards against settings errors that do not name their field and kind.
func TestSettings(t *testing.T) {
	s := DefaultSettings()
	if err := settings.Load([]byte("{"+validSettings+"}"), &s); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		in, field string
		kind      settings.ErrorKind
	}{
		{`{` + validSettings + `,"peers":["host:1"]}`, "peers[0]", settings.KindInvalid},
		{`{` + validSettings + `,"advertised_peer_address":"host"}`, "advertised_peer_address", settings.KindInvalid},
		{`{` + validSettings + `,"default_timeout":"2h"}`, "default_timeout", settings.KindConflict},
		{`{` + validSettings + `,"default_timeout":5}`, "default_timeout", settings.KindWrongUnit},
		{`{` + validSettings + `,"retry_share":2}`, "retry_share", settings.KindInvalid},
		{`{` + validSettings + `,"claims_per_second":101}`, "claims_per_second", settings.KindInvalid},
		{`{` + validSettings + `,"max_body_bytes":0}`, "max_body_bytes", settings.KindInvalid},
		{`{` + validSettings + `,"readiness_delay":"-1s"}`, "readiness_delay", settings.KindInvalid},
		{`{` + validSettings + `,"act_window":"9s"}`, "act_window", settings.KindConflict},
		{`{` + validSettings + `,"renew_interval":"5s"}`, "renew_interval", settings.KindConflict},
		{`{` + validSettings + `,"pause_tolerance":"-1s"}`, "pause_tolerance", settings.KindInvalid},
		{`{` + validSettings + `,"queue":1}`, "queue", settings.KindUnknownField},
		{`{` + validSettings + `,"caller_address":"127.0.0.1:4"}`, "peer_address", settings.KindConflict},
		{`{"name":"entry-1"}`, "data_centre", settings.KindMissing},
	}
	for _, tt := range tests {
		s := DefaultSettings()
		err := settings.Load([]byte(tt.in), &s)
		var found *settings.Error
		if !errors.As(err, &found) || found.Field != tt.field || found.Kind != tt.kind {
			t.Errorf("%s: got %v, want %s at %s", tt.in, err, tt.kind, tt.field)
		}
	}
}
