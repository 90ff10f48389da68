package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// disconnectableRows is a store from which a host can be disconnected.
type disconnectableRows struct {
	hosting.Rows
	disconnected chan struct{}
}

var errDisconnected = &hosting.Error{Kind: hosting.KindUnknown, Op: "call"}

func (r *disconnectableRows) isDisconnected() bool {
	select {
	case <-r.disconnected:
		return true
	default:
		return false
	}
}

func (r *disconnectableRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	if r.isDisconnected() {
		return hosting.RowTxnResult{}, errDisconnected
	}
	return r.Rows.Commit(ctx, txn)
}

func (r *disconnectableRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-r.disconnected:
			cancel()
		}
	}()
	changes, err := r.Rows.Changes(ctx, table, after, wait)
	if r.isDisconnected() {
		return hosting.RowChanges{}, errDisconnected
	}
	return changes, err
}

// Guards against an owner that loses the store and keeps starting items of a job that has ended meanwhile.
func TestDisconnectedOwnerStopsStartingItems(t *testing.T) {
	w := newTestCluster(t)
	store := &disconnectableRows{Rows: w.store, disconnected: make(chan struct{})}
	g := w.startWithRows("a", 0.8, store)
	w.upstreams.script(respondAfter(300 * time.Millisecond)) // four slots: about 13 items a second
	w.mustSubmit(g, "job-1", testItems(200)...)
	sends := func() int { return w.upstreams.requests(func(upstreamcall.Request) bool { return true }) }
	w.eventually("items run", func() bool { return sends() > 4 })
	close(store.disconnected)
	ended := time.Now() // from here on another host may have accepted the end
	time.Sleep(time.Until(ended.Add(g.opts.Timing.CancelApply)))
	before := sends()
	time.Sleep(time.Second)
	if late := sends() - before; late > 0 {
		t.Errorf("%d items were started later than %s after the host was disconnected", late, g.opts.Timing.CancelApply)
	}
	if before < 8 {
		t.Errorf("%d items were started; an outage must not stop the host at once", before)
	}
}

// Guards against items that never start once the store is available again.
func TestStartsResumeAfterStoreOutage(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.mu.Lock()
	g.startsPaused = true
	g.mu.Unlock()
	items := testItems(4)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
}

// Guards against a platform bound that is shorter than a watch call takes, so that no item ever starts.
func TestShortCancelBoundStillStartsItems(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.SetTiming(Timing{BatchLifetime: time.Minute, CancelApply: 100 * time.Millisecond})
	items := testItems(8)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
}
