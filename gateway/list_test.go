package gateway

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against listing results twice because the response to the commit was lost while the watch already delivered
// the new record.
func TestLostCommitResponseListsOnce(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	lost := 0
	w.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
		if txn != nil && putsInto(txn, resultTable) && lost < 3 {
			lost++
			return rows.DropResponse
		}
		return rows.NoFault
	})
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Response, error) {
		time.Sleep(80 * time.Millisecond) // the items finish in waves, each listed by a transaction of its own
		return nil, nil
	})
	items := testItems(24)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if lost == 0 {
		t.Error("no response was lost")
	}
}

// Guards against listing results twice because a transaction without a response is executed after its retry.
func TestDelayedCommitListsOnce(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	deferred := 0
	w.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
		if txn != nil && putsInto(txn, resultTable) && deferred < 2 {
			deferred++
			return rows.Defer
		}
		return rows.NoFault
	})
	items := testItems(12)
	w.mustSubmit(g, "job-1", items...)
	before := w.readAll(g, "job-1")
	w.store.ApplyDeferred()
	w.checkExactlyOnce(before, items)
	other := w.start("b")
	after := w.readAll(other, "job-1")
	for i := range before {
		if before[i].ID != after[i].ID || before[i].Output != after[i].Output {
			t.Errorf("position %d held %s and now %s", i, before[i].ID, after[i].ID)
		}
	}
}

func putsInto(txn *hosting.RowTxn, table string) bool {
	for _, p := range txn.Puts {
		if p.Table == table {
			return true
		}
	}
	return false
}

// Guards against an adopted job that runs and lists its listed items again because its results were read from a store
// that is seconds behind.
func TestStaleReadIsRefused(t *testing.T) {
	store := rows.New()
	fresh := &monotonicRows{Rows: store}
	store.Put("t", "a", nil)
	if _, err := fresh.Range(t.Context(), hosting.RowRange{Table: "t"}); err != nil {
		t.Fatal(err)
	}
	fresh.advance(1000)
	if _, err := fresh.Range(t.Context(), hosting.RowRange{Table: "t"}); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Errorf("a stale read returned %v", err)
	}
}
