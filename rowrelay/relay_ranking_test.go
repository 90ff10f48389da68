package rowrelay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Pattern: the store turns many hosts away at once. A host that asks peers by chance asks those that are turned away like
// itself over and over, and each such call takes its time.
func TestFailedRelaysAreTriedLast(t *testing.T) {
	store := rows.New()
	unreachable := &unreachableStore{Rows: store, kind: hosting.KindUnavailable}
	var peers []Relay
	for i := range 9 {
		peers = append(peers, Relay{Name: fmt.Sprint("away-", i), Rows: unreachable})
	}
	peers = append(peers, Relay{Name: "sound", Rows: store})
	client := New(&unreachableStore{Rows: store, kind: hosting.KindUnavailable}, func() []Relay { return slices.Clone(peers) })
	served := 0
	for range 20 {
		if _, err := client.Commit(t.Context(), hosting.RowTxn{}); err == nil {
			served++
		}
	}
	// Three peers are asked for each call, so that the sound one is found by the fourth call.
	if served < 17 {
		t.Errorf("%d of 20 calls were served", served)
	}
	if unreachable.calls > 9 {
		t.Errorf("peers that are turned away were asked %d times", unreachable.calls)
	}
}

// Guards against a peer that is never asked again, and against hosts that all ask the same peer.
func TestRelayRanking(t *testing.T) {
	o := newRelayRanking()
	now := time.Unix(100, 0)
	peers := func() []Relay { return []Relay{{Name: "a"}, {Name: "b"}, {Name: "c"}} }
	o.recordSuccess("b")
	o.recordFailure("a", now)
	if got := o.rank(peers(), now); got[0].Name != "b" || got[2].Name != "a" {
		t.Errorf("order %v, want b first and a last", got)
	}
	o.recordFailure("b", now)
	firsts := map[string]bool{}
	for range 100 {
		firsts[o.rank(peers(), now.Add(failurePenalty))[0].Name] = true
	}
	if len(firsts) != 3 {
		t.Errorf("after the pause only %v come first", firsts)
	}
}

// Guards against calls that a peer holds for a second although it knows that the store does not answer it.
func TestUnreachablePeerFailsFast(t *testing.T) {
	store := rows.New()
	store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Silent })
	server := httptest.NewServer(NewHandler(store, func() bool { return true }))
	defer server.Close()
	peer := NewPeer(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient)
	started := time.Now()
	_, err := peer.Commit(t.Context(), hosting.RowTxn{})
	if !hosting.IsKind(err, hosting.KindUnavailable) || time.Since(started) > directTimeout/2 {
		t.Errorf("%v after %s", err, time.Since(started))
	}
	if _, err := peer.Changes(t.Context(), "t", 0, time.Second); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Errorf("changes: %v", err)
	}
}
