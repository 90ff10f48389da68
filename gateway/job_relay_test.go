package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rowrelay"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// relayedTables is a peer that relays calls and records the tables of the jobs' rows that it sees.
type relayedTables struct {
	hosting.Rows
	// failsHeartbeats makes a peer the last choice for everything that another one may relay.
	failsHeartbeats bool
	mu              sync.Mutex
	seen            map[string]bool
}

func (r *relayedTables) see(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains([]string{contentTable, resultTable, progressTable, carryoverTable}, table) {
		r.seen[table] = true
	}
}

func (r *relayedTables) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	for _, row := range txn.Puts {
		if r.failsHeartbeats && row.Table == heartbeatTable {
			return hosting.RowTxnResult{}, &hosting.Error{Kind: hosting.KindUnavailable, Op: "commit"}
		}
		r.see(row.Table)
	}
	return r.Rows.Commit(ctx, txn)
}

func (r *relayedTables) Range(ctx context.Context, rng hosting.RowRange) (hosting.RowPage, error) {
	r.see(rng.Table)
	return r.Rows.Range(ctx, rng)
}

// Guards against the content, results and texts of a job that pass through a peer outside of its regions, at the host that
// accepts and runs it, and at one whose caller reads it.
func TestRowsOfAJobAreRelayedAtHome(t *testing.T) {
	w := newHomesCluster(t, testSettings{Version: 2, RouteHomes: map[string][]string{"rollout": {"south"}}})
	away := rows.New() // the store as it turns the host away
	away.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Refuse })
	west := &relayedTables{Rows: w.store, seen: map[string]bool{}}
	south := &relayedTables{Rows: w.store, seen: map[string]bool{}, failsHeartbeats: true}
	relayed := func() hosting.Rows {
		return rowrelay.New(away, func() []rowrelay.Relay {
			return []rowrelay.Relay{{Name: "w", Region: "west", Rows: west}, {Name: "s", Region: "south", Rows: south}}
		})
	}
	a := w.startIn("south-1", "a", 0.8, relayed())
	b := w.startIn("north-1", "b", 0.8, relayed())
	w.waitForPeers(a, b)
	w.upstreams.script(respondAfter(20 * time.Millisecond))
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		items := testItems(8)
		w.mustSubmit(a, id, items...)
		w.checkExactlyOnce(w.readAll(b, id), items)
		if _, err := b.ItemBody(t.Context(), call.BatchRequest{ID: id, Host: testHost, Key: testKey, Item: "item-00"}); err != nil {
			t.Error(err)
		}
	}
	west.mu.Lock()
	defer west.mu.Unlock()
	if len(west.seen) > 0 || !south.seen[contentTable] || !south.seen[resultTable] {
		t.Errorf("the peer outside saw rows of %v, the one at home of %v", west.seen, south.seen)
	}
}
