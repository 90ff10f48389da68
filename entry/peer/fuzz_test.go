package peer

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rpc"
)

// checkFleetView checks that the fleet view contains no values that would mislead routing.
func checkFleetView(t *testing.T, fleet Members, now time.Time) {
	t.Helper()
	for _, u := range fleet.Upstreams(now) {
		if u.ReportedAt.After(now) {
			t.Errorf("%s has a report time in the future", u.Name)
		}
		l := u.Load
		if l.Running < 0 || l.Queued < 0 || l.Slots < 0 || l.PendingTokens < 0 || !(l.TokensPerSecond >= 0) || math.IsInf(l.TokensPerSecond, 0) {
			t.Errorf("%s has the load %+v", u.Name, l)
		}
	}
	for _, s := range fleet.Suspects(now) {
		if s.Remaining <= 0 || s.Remaining > quarantine.DefaultConfig().Retention {
			t.Errorf("suspect %+v has an invalid remaining time", s)
		}
	}
}

// Guards against heartbeats that crash the entry or leave invalid values in its fleet view.
func FuzzHeartbeat(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var req rpc.HeartbeatRequest
		if proto.Unmarshal(data, &req) != nil {
			return
		}
		fleet := newFleet()
		s := NewServer(Options{
			Name: "entry-1", Syncer: &fakeSyncer{state: fleetconfig.NewState()}, Members: fleet, Roles: NewRoleView(nil),
		})
		_, _ = s.Heartbeat(context.Background(), &req)
		checkFleetView(t, fleet, time.Now())
	})
}

// Guards against peer messages that crash the entry or leave invalid values in its fleet view.
func FuzzSyncMerge(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var req rpc.SyncRequest
		if proto.Unmarshal(data, &req) != nil {
			return
		}
		fleet, now := newFleet(), time.Now()
		p := NewParticipant(fleet, NewRoleView(nil), func() time.Time { return now })
		p.MergeRequest(&req)
		checkFleetView(t, fleet, now)
		p.FillResponse(nil, &rpc.SyncResponse{})
	})
}
