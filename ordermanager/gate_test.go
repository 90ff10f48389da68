package ordermanager

import (
	"context"
	"errors"
	"sync"
	"testing/synctest"

	"github.com/radishshelf/radishshelf/hosting"
)

// gate stands between a host and everything outside it. A frozen host is stopped directly before its next call leaves,
// which is the worst moment: all checks have passed.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	// orderOpen holds back an order that is about to leave; it opens before the rest, so that sessions are repeatable.
	orderOpen chan struct{}
	atOrder   bool
	killed    bool
}

func newGate() *gate {
	return &gate{open: closedChan(), orderOpen: closedChan()}
}

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

// freezeAtOrder freezes the host when its next order is about to be sent.
func (g *gate) freezeAtOrder() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atOrder = true
}

func (g *gate) thaw() {
	openAll(g.orderOpen)
	synctest.Wait()
	openAll(g.open)
}

func openAll(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
	openAll(g.orderOpen)
	openAll(g.open)
}

func (g *gate) passOrder() error {
	g.mu.Lock()
	if g.atOrder {
		g.atOrder = false
		g.open = make(chan struct{})
		g.orderOpen = make(chan struct{})
	}
	open := g.orderOpen
	g.mu.Unlock()
	<-open
	return g.dead()
}

func (g *gate) pass() error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
	return g.dead()
}

func (g *gate) dead() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		return &hosting.Error{Kind: hosting.KindUnavailable, Op: "gate", Err: errors.New("the host is dead")}
	}
	return nil
}

// gatedTable passes table calls through the gate.
type gatedTable struct {
	hosting.Table
	gate *gate
}

func (t *gatedTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	if err := t.gate.pass(); err != nil {
		return hosting.TxnResult{}, err
	}
	return t.Table.Commit(context.WithoutCancel(ctx), txn)
}

func (t *gatedTable) Get(ctx context.Context, key string) (hosting.Row, error) {
	if err := t.gate.pass(); err != nil {
		return hosting.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

func (t *gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]hosting.Row, error) {
	if err := t.gate.pass(); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}
