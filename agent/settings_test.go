package agent

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
)

const validSettings = `{"name":"agent-1","data_centre":"sudur","region":"sudur","status_address":"127.0.0.1:1",
"agent_address":"127.0.0.1:2","control_address":"127.0.0.1:3","platform_address":"127.0.0.1:4","serves":"planner",
"upstream_url":"http://127.0.0.1:5","entries":["127.0.0.1:6"]}`

// Guards against an invalid settings file that is accepted, or refused without naming the invalid field.
func TestSettingsErrorsNameField(t *testing.T) {
	s := DefaultSettings()
	if err := settings.Load([]byte(validSettings), &s); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		old, new, field string
		kind            settings.ErrorKind
	}{
		{`"serves":"planner"`, `"serves":"planner","slots":0`, "slots", settings.KindInvalid},
		{`"serves":"planner"`, `"serves":""`, "serves", settings.KindMissing},
		{`"serves":"planner"`, `"serves":"planner","kind":"gpu"`, "kind", settings.KindInvalid},
		{`"serves":"planner"`, `"serves":"planner","heartbeat_interval":5`, "heartbeat_interval", settings.KindWrongUnit},
		{`"http://127.0.0.1:5"`, `"127.0.0.1:5"`, "upstream_url", settings.KindInvalid},
		{`["127.0.0.1:6"]`, `[]`, "entries", settings.KindMissing},
		{`["127.0.0.1:6"]`, `["localhost:6"]`, "entries[0]", settings.KindInvalid},
		{`"127.0.0.1:3"`, `"127.0.0.1:2"`, "control_address", settings.KindConflict},
	} {
		s := DefaultSettings()
		err := settings.Load([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)), &s)
		var got *settings.Error
		if !errors.As(err, &got) || got.Field != tt.field || got.Kind != tt.kind {
			t.Errorf("%s: err = %v; want %s in field %q", tt.new, err, tt.kind, tt.field)
		}
	}
}

// Guards against heartbeats that keep going to dead or leaving entries instead of live ones.
func TestEntryListTargets(t *testing.T) {
	entries := newEntryList("agent-1", []string{"127.0.0.1:1", "127.0.0.1:2"})
	var list []*rpc.EntryInfo
	for port := range 30 {
		list = append(list, &rpc.EntryInfo{PeerAddress: fmt.Sprintf("127.0.0.2:%d", 1000+port)})
	}
	entries.update(list)
	if got := len(entries.targets()); got != maxHeartbeatTargets {
		t.Fatalf("targets = %d; want %d", got, maxHeartbeatTargets)
	}
	gone := entries.targets()[0]
	for range maxMissedHeartbeats {
		entries.recordMiss(gone)
	}
	entries.update([]*rpc.EntryInfo{{PeerAddress: entries.targets()[1], Leaving: true}, {PeerAddress: "not an address"}})
	for _, address := range entries.targets() {
		if address == gone {
			t.Errorf("%s is still a target after %d misses", gone, maxMissedHeartbeats)
		}
	}
}
