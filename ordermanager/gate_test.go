package ordermanager

import (
	"context"
	"errors"
	"sync"
	"testing/synctest"

	"github.com/radishshelf/radishshelf/hosting"
)

// hostGate intercepts all outgoing calls of a host. A frozen host is blocked immediately before its next call is sent,
// which is the worst moment: all checks have already passed.
type hostGate struct {
	mu       sync.Mutex
	unfrozen chan struct{}
	// orderUnfrozen blocks an order that is about to be sent. It is closed before unfrozen, so that the order of events is
	// deterministic.
	orderUnfrozen   chan struct{}
	freezeNextOrder bool
	killed          bool
}

func newHostGate() *hostGate {
	return &hostGate{unfrozen: newClosedChan(), orderUnfrozen: newClosedChan()}
}

func newClosedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (g *hostGate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unfrozen = make(chan struct{})
}

// freezeAtOrder makes the host freeze when it is about to send its next order.
func (g *hostGate) freezeAtOrder() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freezeNextOrder = true
}

func (g *hostGate) thaw() {
	closeOnce(g.orderUnfrozen)
	synctest.Wait()
	closeOnce(g.unfrozen)
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (g *hostGate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
	closeOnce(g.orderUnfrozen)
	closeOnce(g.unfrozen)
}

func (g *hostGate) waitBeforeOrder() error {
	g.mu.Lock()
	if g.freezeNextOrder {
		g.freezeNextOrder = false
		g.unfrozen = make(chan struct{})
		g.orderUnfrozen = make(chan struct{})
	}
	open := g.orderUnfrozen
	g.mu.Unlock()
	<-open
	return g.killedError()
}

func (g *hostGate) wait() error {
	g.mu.Lock()
	open := g.unfrozen
	g.mu.Unlock()
	<-open
	return g.killedError()
}

func (g *hostGate) killedError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		return &hosting.Error{Kind: hosting.KindUnavailable, Op: "gate", Err: errors.New("the host was killed")}
	}
	return nil
}

// gatedTable delays or fails table calls according to the gate.
type gatedTable struct {
	hosting.Table
	gate *hostGate
}

func (t *gatedTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	if err := t.gate.wait(); err != nil {
		return hosting.TxnResult{}, err
	}
	return t.Table.Commit(context.WithoutCancel(ctx), txn)
}

func (t *gatedTable) Get(ctx context.Context, key string) (hosting.Row, error) {
	if err := t.gate.wait(); err != nil {
		return hosting.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

func (t *gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]hosting.Row, error) {
	if err := t.gate.wait(); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}
