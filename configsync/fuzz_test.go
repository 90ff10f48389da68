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

// Guards against a message of a peer that stops the entry, or that makes an old confirmation count as a new one, which
// would let an entry serve withdrawn keys.
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

// failingPeer answers nothing.
type failingPeer struct{ rpc.Peer }

func (failingPeer) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return nil, context.Canceled
}

// fixedPeer answers every Sync alike.
type fixedPeer struct {
	rpc.Peer
	answer *rpc.SyncResponse
}

func (f fixedPeer) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return f.answer, nil
}

// Guards against an answer of a peer that stops the entry, or that lets it serve keyed work although the peer has no
// confirmation by the table that is fresh.
func FuzzSyncAnswer(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		answer := &rpc.SyncResponse{}
		if proto.Unmarshal(data, answer) != nil {
			return
		}
		s := New(Options{
			Name: "entry-1", PeerAddress: "127.0.0.1:1", DataCentre: "wien",
			Source: configstore.New(memory.New(memory.Options{}).Table),
			Dial:   func(string) rpc.Peer { return failingPeer{} },
		})
		p := &peer{address: answer.GetFrom().GetPeerAddress(), client: fixedPeer{answer: answer}}
		_, _ = s.exchange(t.Context(), p, &rpc.SyncRequest{From: s.info(time.Now())})
		ms := answer.GetFrom().GetConfirmationAgeMs()
		if fresh := ms >= 0 && ms < time.Minute.Milliseconds(); !fresh && s.MayServeKeyed(time.Now()) {
			t.Errorf("keyed work is served after a confirmation of %d ms", ms)
		}
		s.Entries(time.Now())
		s.View().Defaults()
	})
}
