package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// cutRows is a store that a host can be cut off from.
type cutRows struct {
	hosting.Rows
	cut chan struct{}
}

var errCut = &hosting.Error{Kind: hosting.KindUnknown, Op: "cut"}

func (r *cutRows) isCut() bool {
	select {
	case <-r.cut:
		return true
	default:
		return false
	}
}

func (r *cutRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	if r.isCut() {
		return hosting.RowTxnResult{}, errCut
	}
	return r.Rows.Commit(ctx, txn)
}

func (r *cutRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-r.cut:
			cancel()
		}
	}()
	changes, err := r.Rows.Changes(ctx, table, after, wait)
	if r.isCut() {
		return hosting.RowChanges{}, errCut
	}
	return changes, err
}

// Guards against an owner that is cut off from the store and goes on to start items of a job that ended meanwhile.
func TestOwnerThatHearsNothingStartsNothing(t *testing.T) {
	w := newTestCluster(t)
	cut := &cutRows{Rows: w.store, cut: make(chan struct{})}
	g := w.startWithRows("a", 0.8, cut)
	w.upstreams.script(slowly(300 * time.Millisecond)) // four slots: about 13 items a second
	w.mustSubmit(g, "job-1", testItems(200)...)
	sends := func() int { return w.upstreams.requests(func(upstreamcall.Request) bool { return true }) }
	w.eventually("items run", func() bool { return sends() > 4 })
	close(cut.cut)
	ended := time.Now() // from here on another host may have accepted the end
	time.Sleep(time.Until(ended.Add(g.opts.Timing.CancelApply)))
	before := sends()
	time.Sleep(time.Second)
	if late := sends() - before; late > 0 {
		t.Errorf("%d items were started later than %s after the host was cut off", late, g.opts.Timing.CancelApply)
	}
	if before < 8 {
		t.Errorf("%d items were started; the host stopped at once, which an outage does not ask for", before)
	}
}

// Guards against items that stay where they are after the store is back.
func TestStartsGoOnWhenTheStoreIsBack(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.mu.Lock()
	g.startsPaused = true
	g.mu.Unlock()
	items := testItems(4)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
}

// Guards against a platform whose bound is shorter than an answer of the watch takes, so that nothing ever starts.
func TestShortBoundStartsItemsAllTheSame(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	g.SetTiming(Timing{BatchLifetime: time.Minute, CancelApply: 100 * time.Millisecond})
	items := testItems(8)
	w.mustSubmit(g, "job-1", items...)
	w.checkExactlyOnce(w.readAll(g, "job-1"), items)
}
