package peer

import (
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/rpc"
)

// fakeSyncer is a Syncer with a local configuration and one other entry.
type fakeSyncer struct{ state *fleetconfig.State }

func (f *fakeSyncer) HandleSync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return &rpc.SyncResponse{}, nil
}
func (f *fakeSyncer) Entries(time.Time) []*rpc.EntryInfo { return []*rpc.EntryInfo{{Name: "entry-2"}} }
func (f *fakeSyncer) Info(time.Time) *rpc.EntryInfo      { return &rpc.EntryInfo{Name: "entry-1"} }
func (f *fakeSyncer) View() *fleetconfig.View            { return f.state.View() }

func (f *fakeSyncer) rollout(revision int64, r fleetconfig.Rollout) {
	raw, _ := json.Marshal(r)
	f.state.Apply([]fleetconfig.Object{{Kind: fleetconfig.KindRollout, Name: "toll", Revision: revision, Value: raw}})
}

func newFleet() *entry.Fleet { return entry.NewFleet("sudur", "sudur", rand.New(rand.NewSource(1))) }

func newHeartbeat(seq int64) *rpc.HeartbeatRequest {
	return &rpc.HeartbeatRequest{
		Upstream: "engine-1", DataAddress: "127.0.0.1:9", DataCentre: "sudur", Region: "sudur", Kind: "engine", Policy: "toll",
		Incarnation: "i1", ReportSeq: seq, Healthy: true, ActiveVersion: 7, Slots: 4,
		Suspects: []*rpc.Quarantined{{Fingerprint: "f", Deaths: 2, RemainingMs: 60_000}},
	}
}

// Guards against a wrong wanted state in heartbeat replies, and against fleet state that is not relayed from an agent
// through an entry to a peer.
func TestHeartbeatReplyAndRelay(t *testing.T) {
	syncer := &fakeSyncer{state: fleetconfig.NewState()}
	fleet := newFleet()
	roles := NewRoleView(func() []*rpc.RoleInfo { return []*rpc.RoleInfo{{Role: "quota", Holder: "entry-1/i", Term: 3}} })
	s := NewServer(Options{Name: "entry-1", Syncer: syncer, Members: fleet, Roles: roles})
	reply, err := s.Heartbeat(context.Background(), newHeartbeat(1))
	if err != nil || reply.Wanted != nil || len(reply.Entries) != 2 || len(reply.Quarantined) != 1 || reply.Roles[0].Term != 3 {
		t.Fatalf("got %v, %v", reply, err)
	}
	for _, tt := range []struct {
		phase           string
		stage, activate int64
	}{{fleetconfig.PhaseStage, 8, 7}, {fleetconfig.PhaseActivate, 8, 8}} {
		syncer.rollout(5+tt.activate, fleetconfig.Rollout{Version: 8, Previous: 7, Phase: tt.phase, Term: 2})
		reply, err := s.Heartbeat(context.Background(), newHeartbeat(tt.activate))
		w := reply.GetWanted()
		if err != nil || w.GetStageVersion() != tt.stage || w.GetActivateVersion() != tt.activate || w.GetTerm() != 2 ||
			w.GetRevision() != 5+tt.activate || w.GetPolicy() != "toll" {
			t.Fatalf("%s: got %v, %v", tt.phase, w, err)
		}
	}
	other := newFleet()
	otherRoles := NewRoleView(nil)
	req := &rpc.SyncRequest{From: &rpc.EntryInfo{Name: "entry-1", Incarnation: "i"}}
	NewParticipant(fleet, roles, nil).FillRequest(nil, req)
	NewParticipant(other, otherRoles, nil).MergeRequest(req)
	now := time.Now()
	if list := other.Upstreams(now); len(list) != 1 || list[0].Status != membership.Live || list[0].ActiveVersion != 7 {
		t.Fatalf("relayed: %+v", list)
	}
	if holder, _ := otherRoles.Holder("quota"); holder != "entry-1/i" || len(other.Suspects(now)) != 1 || len(other.Entries(now)) != 1 {
		t.Fatalf("role %q, suspects %v, entries %v", holder, other.Suspects(now), other.Entries(now))
	}
	otherRoles.Merge([]*rpc.RoleInfo{{Role: "quota", Holder: "old", Term: 2}})
	if holder, _ := otherRoles.Holder("quota"); holder != "entry-1/i" {
		t.Fatalf("an older term replaced the holder: %q", holder)
	}
}

// Guards against malformed reports that reach the fleet view, and against calls without the fleet credential.
func TestRejectsMalformedAndUnauthenticatedReports(t *testing.T) {
	fleet := newFleet()
	s := NewServer(Options{
		Name: "entry-1", Syncer: &fakeSyncer{state: fleetconfig.NewState()}, Members: fleet, Roles: NewRoleView(nil),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewHTTPServer(s, "fleet-secret", nil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	unauthenticated := NewDialer("wrong", nil, time.Second).Dial(l.Addr().String())
	if _, err := unauthenticated.Heartbeat(context.Background(), newHeartbeat(1)); errorCode(err) != twirp.Unauthenticated {
		t.Fatalf("got %v", err)
	}
	authenticated := NewDialer("fleet-secret", nil, time.Second).Dial(l.Addr().String())
	for name, change := range map[string]func(r *rpc.HeartbeatRequest){
		"no name":      func(r *rpc.HeartbeatRequest) { r.Upstream = "" },
		"host name":    func(r *rpc.HeartbeatRequest) { r.DataAddress = "localhost:1" },
		"kind":         func(r *rpc.HeartbeatRequest) { r.Kind = "gpu" },
		"sequence":     func(r *rpc.HeartbeatRequest) { r.ReportSeq = 0 },
		"negative age": func(r *rpc.HeartbeatRequest) { r.AgeMs = -1 },
		"cache events": func(r *rpc.HeartbeatRequest) { r.CacheAdded = make([]uint64, maxCacheEvents+1) },
	} {
		report := newHeartbeat(1)
		change(report)
		if _, err := authenticated.Heartbeat(context.Background(), report); errorCode(err) != twirp.InvalidArgument {
			t.Fatalf("%s: got %v", name, err)
		}
	}
	if list := fleet.Upstreams(time.Now()); len(list) != 0 {
		t.Fatalf("rejected reports were applied: %v", list)
	}
	if _, err := authenticated.Heartbeat(context.Background(), newHeartbeat(1)); err != nil {
		t.Fatal(err)
	}
}

func errorCode(err error) twirp.ErrorCode {
	if e, ok := err.(twirp.Error); ok {
		return e.Code()
	}
	return twirp.NoError
}
