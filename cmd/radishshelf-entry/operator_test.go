package main

import (
	"encoding/json"
	"math/rand"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/prefixindex"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against a host status that shows the queried entry as not reporting, or a draining upstream as live.
func TestHostStatusOfOwnEntryAndDrainingUpstream(t *testing.T) {
	p := &process{settings: entry.DefaultSettings(), fleet: entry.NewFleet("sudur", "sudur", rand.New(rand.NewSource(1)))}
	p.settings.Name = "entry-1"
	p.syncer = configsync.New(configsync.Options{
		Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "sudur",
		Source: configstore.New(memory.New(memory.Options{}).Table),
	})
	configured, err := json.Marshal(fleetconfig.Upstream{Kind: fleetconfig.UpstreamEngine, Serves: "toll", Draining: true})
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.syncer.HandleSync(t.Context(), &rpc.SyncRequest{
		From: &rpc.EntryInfo{Name: "entry-2", PeerAddress: "127.0.0.1:2", DataCentre: "sudur", ConfirmationAgeMs: -1},
		Objects: []*rpc.ConfigObject{
			{Kind: string(fleetconfig.KindUpstream), Name: "engine-1", Revision: 1, Value: configured},
			{Kind: string(fleetconfig.KindPolicy), Name: "toll", Revision: 2, Value: []byte("{}")},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	p.fleet.SetHosts([]membership.Host{{Name: "entry-1", Role: membership.RoleEntry, Address: "127.0.0.1:1"}}, now)
	for _, name := range []string{"engine-1", "engine-2"} {
		p.fleet.ApplyHeartbeat(membership.Upstream{
			Name: name, DataAddress: "127.0.0.1:9", Kind: fleetconfig.UpstreamEngine, Serves: "toll", Incarnation: "i",
			ReportSeq: 1, Healthy: true, ActiveVersion: 7, StagedVersions: []int64{8},
		}, prefixindex.Event{Upstream: name, Incarnation: "i", Seq: 1}, nil, now)
	}
	hosts, err := statusSource{p}.HostStatus(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	states := map[string]string{}
	for _, h := range hosts {
		states[h.Name] = h.State
	}
	if states["entry-1"] != "live" || states["engine-1"] != "leaving" || states["engine-2"] != "live" {
		t.Errorf("states %v; want only engine-1 leaving", states)
	}
	versions, err := statusSource{p}.VersionStatus(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	// Engines are also listed before the first rollout of their policy.
	if len(versions) != 1 || len(versions[0].Upstreams) != 2 || versions[0].Upstreams[1].Active != 7 || versions[0].Active != 0 {
		t.Errorf("versions %+v; want policy toll with two engines serving version 7 and no rollout", versions)
	}
}
