package configsync

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// countingParticipant is a Participant that sends one quarantined fingerprint and counts the fingerprints it receives.
type countingParticipant struct{ requests, responses atomic.Int64 }

func (c *countingParticipant) FillRequest(_ *rpc.EntryInfo, req *rpc.SyncRequest) {
	req.Quarantined = append(req.Quarantined, &rpc.Quarantined{Fingerprint: "f"})
}

func (c *countingParticipant) MergeRequest(req *rpc.SyncRequest) {
	c.requests.Add(int64(len(req.GetQuarantined())))
}

func (c *countingParticipant) FillResponse(_ *rpc.EntryInfo, resp *rpc.SyncResponse) {
	resp.Quarantined = append(resp.Quarantined, &rpc.Quarantined{Fingerprint: "f"})
}

func (c *countingParticipant) MergeResponse(resp *rpc.SyncResponse) {
	c.responses.Add(int64(len(resp.GetQuarantined())))
}

type peerServer struct {
	rpc.Peer
	syncer *Syncer
}

func (p *peerServer) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return p.syncer.HandleSync(ctx, req)
}

// Guards against objects or participant state lost in transport over Twirp, and against accepting a request without a
// sender.
func TestSyncOverTwirp(t *testing.T) {
	mem := memory.New(memory.Options{})
	store := configstore.New(mem.Table)
	if _, err := store.Write(t.Context(), fleetconfig.KindPolicy, "p", fleetconfig.Policy{MaxTokens: 3}, 0); err != nil {
		t.Fatal(err)
	}
	served := &peerServer{}
	server := httptest.NewServer(rpc.NewPeerServer(served))
	defer server.Close()
	address := server.Listener.Addr().String()
	shared := &countingParticipant{}
	served.syncer = New(Options{
		Name: "a", PeerAddress: address, DataCentre: "wien", Source: store, Participants: []Participant{shared},
	})
	if _, err := served.syncer.readTable(t.Context()); err != nil {
		t.Fatal(err)
	}
	b := New(Options{
		Name: "b", PeerAddress: "127.0.0.1:1", DataCentre: "wien", Peers: []string{address}, Source: store,
		Participants: []Participant{shared},
	})
	if err := b.pull(t.Context(), b.peers.byAddress[address]); err != nil {
		t.Fatal(err)
	}
	if p, ok := b.View().Policy("p"); !ok || p.MaxTokens != 3 || b.View().Revision() != 1 {
		t.Errorf("pulled policy = %+v, %t at revision %d", p, ok, b.View().Revision())
	}
	if shared.requests.Load() != 1 || shared.responses.Load() != 1 {
		t.Errorf("%d requests and %d responses carried a fingerprint", shared.requests.Load(), shared.responses.Load())
	}
	if entries := b.Entries(time.Now()); len(entries) != 1 || entries[0].GetName() != "a" {
		t.Errorf("entries = %v; want a", entries)
	}
	if b.Ready() == nil {
		t.Error("ready after one response of one peer")
	}
	if _, err := served.syncer.HandleSync(t.Context(), &rpc.SyncRequest{}); err == nil {
		t.Error("a request without a sender was served")
	}
}
