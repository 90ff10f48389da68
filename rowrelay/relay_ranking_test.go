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

// Guards against calls that spend their time on refused peers. The store refuses many hosts at once; a host that picks
// peers at random keeps picking refused ones, and each such call takes time.
func TestFailedRelaysAreTriedLast(t *testing.T) {
	store := rows.New()
	unreachable := &unreachableStore{Rows: store, kind: hosting.KindUnavailable}
	var peers []Relay
	for i := range 9 {
		peers = append(peers, Relay{Name: fmt.Sprint("unreachable-", i), Rows: unreachable})
	}
	peers = append(peers, Relay{Name: "reachable", Rows: store})
	client := New(&unreachableStore{Rows: store, kind: hosting.KindUnavailable}, func() []Relay { return slices.Clone(peers) })
	served := 0
	for range 20 {
		if _, err := client.Commit(t.Context(), hosting.RowTxn{}); err == nil {
			served++
		}
	}
	// Three peers are tried for each call, so the reachable one is found by the fourth call.
	if served < 17 {
		t.Errorf("%d of 20 calls were served", served)
	}
	if unreachable.calls > 9 {
		t.Errorf("unreachable peers were tried %d times", unreachable.calls)
	}
}

// Guards against a peer that is never tried again after a failure, and against hosts that all pick the same peer.
func TestRelayRanking(t *testing.T) {
	ranking := newRelayRanking()
	now := time.Unix(100, 0)
	peers := func() []Relay { return []Relay{{Name: "a"}, {Name: "b"}, {Name: "c"}} }
	ranking.recordSuccess("b")
	ranking.recordFailure("a", now)
	if got := ranking.rank(peers(), now); got[0].Name != "b" || got[2].Name != "a" {
		t.Errorf("order %v, want b first and a last", got)
	}
	ranking.recordFailure("b", now)
	firsts := map[string]bool{}
	for range 100 {
		firsts[ranking.rank(peers(), now.Add(failurePenalty))[0].Name] = true
	}
	if len(firsts) != 3 {
		t.Errorf("after the penalty only %v are ranked first", firsts)
	}
}

// Guards against a peer that takes about a second to fail a call although it knows that it cannot reach the store.
func TestUnreachablePeerFailsFast(t *testing.T) {
	store := rows.New()
	store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Hang })
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
