package ordermanager

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Pools in the order of their turns.
var (
	failingPool = ordering.Pool{DataCentre: "sudur", Kind: "engine:fares"}
	laterPool   = ordering.Pool{DataCentre: "tirol", Kind: "engine:lifts"}
)

// termAuthority holds the role in one term.
type termAuthority struct{ guard hosting.Condition }

func (a termAuthority) MayAct(time.Time) (int64, bool)   { return 1, true }
func (a termAuthority) Guard() (hosting.Condition, bool) { return a.guard, true }

// fault names the operations that fail for failingPool.
type fault struct{ place, lookup, write, loseWriteReply bool }

func (f *fault) errorFor(active bool, text string) error {
	if !active || !strings.Contains(text, failingPool.String()) {
		return nil
	}
	return &hosting.Error{Kind: hosting.KindUnavailable, Op: "test", Err: errors.New("no answer for " + text)}
}

type faultyTable struct {
	hosting.Table
	fault *fault
}

func (f faultyTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	key := txn.Puts[0].Key
	if err := f.fault.errorFor(f.fault.write, key); err != nil {
		return hosting.TxnResult{}, err
	}
	result, err := f.Table.Commit(ctx, txn)
	if f.fault.errorFor(f.fault.loseWriteReply, key) != nil {
		return hosting.TxnResult{}, &hosting.Error{Kind: hosting.KindUnknown, Op: "table commit " + key}
	}
	return result, err
}

type faultyOrders struct {
	hosting.Orders
	fault *fault
}

func (f faultyOrders) Place(ctx context.Context, order hosting.Order) error {
	if err := f.fault.errorFor(f.fault.place, order.ID); err != nil {
		return err
	}
	return f.Orders.Place(ctx, order)
}

func (f faultyOrders) Lookup(ctx context.Context, id string) (hosting.Order, error) {
	if err := f.fault.errorFor(f.fault.lookup, id); err != nil {
		return hosting.Order{}, err
	}
	return f.Orders.Lookup(ctx, id)
}

// laterPoolDelay is how long after failingPool the need of laterPool begins. It is shorter than the scaling delay, so
// that a fault of failingPool that cleared the history of the planner would also keep laterPool from being ordered.
const laterPoolDelay = 8 * time.Second

// poolEnv is a Manager for two pools that need more upstreams, on a platform that fails for one of them. Their Max
// keeps the smoothed demand from causing a second order.
type poolEnv struct {
	t        *testing.T
	platform *memory.Platform
	fault    fault
	now      time.Time
	manager  *Manager
}

func newPoolEnv(t *testing.T, log zerolog.Logger) *poolEnv {
	e := &poolEnv{
		t: t, platform: memory.New(memory.Options{}), now: time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC),
	}
	start := e.now
	lease := e.putRow("lease/orders", "{}")
	manager, err := New(Options{
		Table: faultyTable{e.platform.Table, &e.fault}, Orders: faultyOrders{e.platform.Orders, &e.fault},
		Authority: termAuthority{hosting.Condition{Key: "lease/orders", Revision: lease}},
		Planning:  ordering.DefaultConfig(), Log: log, Registry: telemetry.NewRegistry(),
		Now: func() time.Time { return e.now },
		Signals: func(now time.Time) []ordering.Signal {
			later := ordering.Signal{Pool: laterPool, Live: 2, Busy: 14, Slots: 20, Max: 4}
			if now.Sub(start) >= laterPoolDelay {
				later.Busy = 40
			}
			return []ordering.Signal{{Pool: failingPool, Live: 2, Busy: 40, Slots: 20, Max: 4}, later}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.manager = manager
	return e
}

func (e *poolEnv) putRow(key, value string) (revision int64) {
	e.t.Helper()
	result, err := e.platform.Table.Commit(e.t.Context(), hosting.Txn{
		Puts: []hosting.Put{{Key: key, Value: []byte(value)}},
	})
	if err != nil {
		e.t.Fatal(err)
	}
	return result.Revision
}

// runRounds runs one round per second for twice the delay after which a lasting need is ordered. It returns all errors.
func (e *poolEnv) runRounds() error {
	var errs []error
	for range int(2 * ordering.DefaultScaleUpDelay / time.Second) {
		errs = append(errs, e.manager.Round(e.t.Context()))
		e.now = e.now.Add(time.Second)
	}
	return errors.Join(errs...)
}

// orders returns how often each order has reached the platform.
func (e *poolEnv) orders() map[string]int {
	received := map[string]int{}
	for _, order := range e.platform.Orders.List() {
		if len(order.Terms) == 0 || slices.ContainsFunc(order.Terms, func(term int64) bool { return term != 1 }) {
			e.t.Errorf("order %s was sent under the terms %v, want only 1", order.ID, order.Terms)
		}
		received[order.ID] = order.Received
	}
	return received
}

// Guards against a pool whose calls fail and that keeps the pools after it from being ordered, against errors that the
// round does not return, and against an order that is sent under two IDs once the calls succeed again.
func TestFailingPoolBlocksNoOther(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"the platform does not accept the order", fault{place: true}},
		{"the platform does not answer lookups", fault{place: true, lookup: true}},
		{"the intent cannot be written", fault{write: true}},
		{"replies to writes of the intent are lost", fault{loseWriteReply: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newPoolEnv(t, zerolog.Nop())
			e.fault = tt.fault
			if err := e.runRounds(); err == nil || !strings.Contains(err.Error(), failingPool.String()) {
				t.Errorf("rounds with calls that fail for %s: %v", failingPool, err)
			}
			if got := e.orders()[laterPool.String()+"#1"]; got != 1 {
				t.Errorf("the order of %s reached the platform %d times, want 1; orders %v", laterPool, got, e.orders())
			}
			e.fault = fault{}
			if err := e.runRounds(); err != nil {
				t.Errorf("rounds after the fault: %v", err)
			}
			if got, want := fmt.Sprint(e.orders()), fmt.Sprintf("map[%s#1:1 %s#1:1]", failingPool, laterPool); got != want {
				t.Errorf("orders %s, want %s", got, want)
			}
		})
	}
}
