package rowrelay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
)

func key(name string) hosting.RowKey { return hosting.RowKey{Table: "t", Key: name} }

// unreachableStore is the store as seen by a host that the store refuses; kind is the error of its calls, empty for
// none.
type unreachableStore struct {
	hosting.Rows
	kind  hosting.ErrorKind
	calls int
}

func (s *unreachableStore) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	s.calls++
	if s.kind != "" {
		return hosting.RowTxnResult{}, &hosting.Error{Kind: s.kind, Op: "commit"}
	}
	return s.Rows.Commit(ctx, txn)
}

func (s *unreachableStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) (hosting.RowChanges, error) {
	if s.kind != "" {
		return hosting.RowChanges{}, &hosting.Error{Kind: s.kind, Op: "changes"}
	}
	return s.Rows.Changes(ctx, table, after, wait)
}

func newRelay(t *testing.T) (*rows.Store, *unreachableStore, *Client) {
	store := rows.New()
	server := httptest.NewServer(NewHandler(store, func() bool { return false }))
	t.Cleanup(server.Close)
	direct := &unreachableStore{Rows: store}
	peer := NewPeer(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient)
	return store, direct, New(direct, func() []Relay { return []Relay{{Name: "peer", Rows: peer}} })
}

// Guards against a host that loses access to the store, and so misses withdrawn keys, because the store refuses only
// this host.
func TestCallsUseRelayWhileStoreUnreachable(t *testing.T) {
	store, direct, client := newRelay(t)
	direct.kind = hosting.KindUnavailable
	txn := hosting.RowTxn{
		Conditions: []hosting.StoredRow{{RowKey: key("a")}}, Puts: []hosting.StoredRow{{RowKey: key("a"), Value: []byte{1, 0}}},
	}
	if result, err := client.Commit(t.Context(), txn); err != nil || !result.Committed {
		t.Fatalf("%+v, %v", result, err)
	}
	if result, err := client.Commit(t.Context(), txn); err != nil || result.Committed || len(result.Current) != 1 {
		t.Errorf("failed condition: %+v, %v", result, err)
	}
	store.Delete("t", "a")
	changes, err := client.Changes(t.Context(), "t", 1, time.Second)
	if err != nil || len(changes.Changes) != 2 || !changes.Changes[1].Deleted || string(changes.Changes[0].Value) != "\x01\x00" {
		t.Errorf("changes %+v, %v", changes, err)
	}
	if parts, err := client.Parts(t.Context(), "t"); err != nil || len(parts) != 0 {
		t.Errorf("parts %v, %v", parts, err)
	}
	store.Compact()
	if _, err := client.Changes(t.Context(), "t", 1, time.Second); !hosting.IsKind(err, hosting.KindExpired) {
		t.Errorf("changes of a discarded history through a peer: %v", err)
	}
}

// Guards against a transaction that runs twice because its response was lost and the call was repeated through a peer.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	_, direct, client := newRelay(t)
	direct.kind = hosting.KindUnknown
	_, err := client.Commit(t.Context(), hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: key("a")}}})
	if !hosting.IsKind(err, hosting.KindUnknown) || direct.calls != 1 {
		t.Errorf("%v after %d calls", err, direct.calls)
	}
}

// Guards against a host that never calls the store directly again after the store refused it once.
func TestDirectCallsResumeAfterBackoff(t *testing.T) {
	_, direct, client := newRelay(t)
	direct.kind = hosting.KindLimited
	if _, err := client.Commit(t.Context(), hosting.RowTxn{}); err != nil || !client.Relaying() {
		t.Fatalf("relaying %v, %v", client.Relaying(), err)
	}
	direct.kind = ""
	time.Sleep(initialBackoff + 50*time.Millisecond)
	before := direct.calls
	if _, err := client.Commit(t.Context(), hosting.RowTxn{}); err != nil || direct.calls != before+1 {
		t.Errorf("%d direct calls, %v", direct.calls-before, err)
	}
}

// Guards against calls that stay hung for seconds after a silent store has recovered, because they were sent before the
// recovery.
func TestHungCallsAreCancelledWhenStoreRecovers(t *testing.T) {
	store := rows.New()
	client := New(store, func() []Relay { return []Relay{{Name: "peer", Rows: store}} })
	go client.Run(t.Context(), hosting.RowRange{Table: "t", Limit: 1})
	store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Hang })
	if _, err := client.Range(t.Context(), hosting.RowRange{Table: "t"}); err == nil {
		t.Fatal("a silent store answered")
	}
	answered := make(chan error, 1)
	go func() {
		_, err := client.Changes(t.Context(), "t", 0, 2*time.Second)
		answered <- err
	}()
	time.Sleep(500 * time.Millisecond)
	store.SetFaults(nil)
	store.Put("t", "a", nil)
	started := time.Now()
	err := <-answered
	if took := time.Since(started); err != nil || took > 700*time.Millisecond {
		t.Errorf("answered %s after the store recovered: %v", took, err)
	}
}

// lostReply is a store whose commits have an unknown effect.
type lostReply struct{ hosting.Rows }

func (lostReply) Commit(context.Context, hosting.RowTxn) (hosting.RowTxnResult, error) {
	return hosting.RowTxnResult{}, &hosting.Error{Kind: hosting.KindUnknown, Op: "commit"}
}

// Guards against advice to repeat a relayed commit that may have taken effect, whether the peer or its store failed.
func TestRemedyOfCommitWithUnknownEffect(t *testing.T) {
	peerFails := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	for name, handler := range map[string]http.Handler{
		"peer fails":  http.HandlerFunc(peerFails),
		"store fails": NewHandler(lostReply{rows.New()}, func() bool { return false }),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			peer := NewPeer(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient)
			_, err := peer.Commit(t.Context(), hosting.RowTxn{})
			var failed *hosting.Error
			if !errors.As(err, &failed) || failed.Kind != hosting.KindUnknown || failed.Remedy != remedyReadRows {
				t.Errorf("commit: %v; want effect unknown and the remedy %q", err, remedyReadRows)
			}
		})
	}
	server := httptest.NewServer(http.HandlerFunc(peerFails))
	defer server.Close()
	peer := NewPeer(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient)
	_, err := peer.Range(t.Context(), hosting.RowRange{Table: "t"})
	var failed *hosting.Error
	if !errors.As(err, &failed) || failed.Kind != hosting.KindUnavailable || failed.Remedy != "try another peer" {
		t.Errorf("range: %v; want it unavailable and the remedy to try another peer", err)
	}
}
