package gateway

import (
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against results that are listed twice because the answer to the listing was lost while the watch already showed
// the new record.
func TestLostAnswerListsOnce(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	lost := 0
	w.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
		if txn != nil && writes(txn, resultTable) && lost < 3 {
			lost++
			return rows.LoseAnswer
		}
		return rows.None
	})
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
		time.Sleep(80 * time.Millisecond) // the items finish in waves, each listed by a transaction of its own
		return nil, nil
	})
	items := testItems(24)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
	if lost == 0 {
		t.Error("no answer was lost")
	}
}

// Guards against results that are listed twice because a transaction without an answer is carried out after its repeat.
func TestLateListingChangesNothing(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	held := 0
	w.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
		if txn != nil && writes(txn, resultTable) && held < 2 {
			held++
			return rows.Late
		}
		return rows.None
	})
	items := testItems(12)
	w.mustSubmit(g, "job-1", items...)
	before := w.readAll(g, "job-1")
	w.store.Flush()
	w.checkExactlyOnce(before, items)
	other := w.start("b")
	after := w.readAll(other, "job-1")
	for i := range before {
		if before[i].ID != after[i].ID || before[i].Output != after[i].Output {
			t.Errorf("position %d held %s and now %s", i, before[i].ID, after[i].ID)
		}
	}
}

func writes(txn *hosting.RowTxn, table string) bool {
	for _, p := range txn.Puts {
		if p.Table == table {
			return true
		}
	}
	return false
}

// Guards against an adopted job whose listed items run and are listed again because the results were read from a store
// that is seconds behind.
func TestStaleReadIsRefused(t *testing.T) {
	store := rows.New()
	fresh := &freshRows{Rows: store}
	store.Put("t", "a", nil)
	if _, err := fresh.Range(t.Context(), hosting.RowRange{Table: "t"}); err != nil {
		t.Fatal(err)
	}
	fresh.saw(1000)
	if _, err := fresh.Range(t.Context(), hosting.RowRange{Table: "t"}); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Errorf("a reading that is behind: %v", err)
	}
}
