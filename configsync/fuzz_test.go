package configsync

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against a request of a peer that makes the entry panic or that makes an old confirmation count as a new one,
// which would let the entry serve withdrawn keys.
func FuzzSync(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var req rpc.SyncRequest
		if proto.Unmarshal(data, &req) != nil {
			return
		}
		s := New(Options{
			Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "wien",
			Source: configstore.New(memory.New(memory.Options{}).Table),
			Dial:   func(string) rpc.Peer { return failingPeer{} },
		})
		for _, info := range append(req.GetEntries(), req.GetFrom()) {
			ms := info.GetConfirmationAgeMs()
			if age := confirmationAge(info); ms >= 0 && (age < 0 || ms > time.Hour.Milliseconds() && age < time.Hour) {
				t.Errorf("the age of %d ms was read as %s", ms, age)
			}
		}
		_, _ = s.HandleSync(t.Context(), &req)
		s.MayServeKeyed(time.Now())
		s.Entries(time.Now())
	})
}

// failingPeer fails every Sync.
type failingPeer struct{ rpc.Peer }

func (failingPeer) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return nil, context.Canceled
}

// fixedPeer returns the same response to every Sync.
type fixedPeer struct {
	rpc.Peer
	response *rpc.SyncResponse
}

func (f fixedPeer) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return f.response, nil
}

// Guards against a response of a peer that makes the entry panic or that lets it serve keyed requests although the peer
// has no fresh confirmation by the table.
func FuzzSyncResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		response := &rpc.SyncResponse{}
		if proto.Unmarshal(data, response) != nil {
			return
		}
		s := New(Options{
			Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "wien",
			Source: configstore.New(memory.New(memory.Options{}).Table),
			Dial:   func(string) rpc.Peer { return failingPeer{} },
		})
		p := &peer{address: response.GetFrom().GetPeerAddress(), client: fixedPeer{response: response}}
		_, _ = s.exchange(t.Context(), p, &rpc.SyncRequest{From: s.info(time.Now())})
		ms := response.GetFrom().GetConfirmationAgeMs()
		if fresh := ms >= 0 && ms < time.Minute.Milliseconds(); !fresh && s.MayServeKeyed(time.Now()) {
			t.Errorf("keyed requests are served with a confirmation age of %d ms", ms)
		}
		s.Entries(time.Now())
		s.View().Defaults()
	})
}
