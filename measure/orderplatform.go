package measure

import (
	"context"
	"errors"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// orderPlatform takes orders for the pools and loses replies. It does not check terms.
type orderPlatform struct {
	sim    *Sim
	orders *memory.Orders
	table  *memory.Table
	pools  map[ordering.Pool]*orderPool
	seen   map[string]bool
	// effective counts orders with a new identity, doubled those that repeat the count in force, and turns those that
	// change the direction of the last one.
	effective        int
	duplicated       int
	directionChanges int
	lastDirection    map[ordering.Pool]int
	// hasOrder are the pools that had an order.
	hasOrder map[ordering.Pool]bool
}

func newOrderPlatform(s *Sim) *orderPlatform {
	m := memory.New(memory.Options{Now: s.Now})
	return &orderPlatform{
		sim: s, orders: m.Orders, table: m.Table, pools: map[ordering.Pool]*orderPool{}, seen: map[string]bool{},
		lastDirection: map[ordering.Pool]int{}, hasOrder: map[ordering.Pool]bool{},
	}
}

// drawLoss decides whether a call fails and whether it takes effect nevertheless.
func (p *orderPlatform) drawLoss() (fails, effect bool) {
	if p.sim.Rand.Float64() >= ordersReplyLoss {
		return false, true
	}
	return true, p.sim.Rand.Float64() < 0.5
}

func lostReply(op string) error {
	return &hosting.Error{
		Kind: hosting.KindUnknown, Op: op, Err: errors.New("the reply was lost"), Remedy: "look the result up",
	}
}

// Place implements hosting.Orders.
func (p *orderPlatform) Place(ctx context.Context, order hosting.Order) error {
	fails, effect := p.drawLoss()
	if effect {
		if err := p.orders.Place(ctx, order); err != nil {
			return err
		}
		p.apply(order)
	}
	if fails {
		return lostReply("order place")
	}
	return nil
}

func (p *orderPlatform) apply(order hosting.Order) {
	if p.seen[order.ID] {
		return
	}
	p.seen[order.ID] = true
	pool := ordering.Pool{DataCentre: order.DataCentre, Kind: order.Kind}
	state := p.pools[pool]
	p.effective++
	direction := order.Count - state.ordered
	if direction == 0 {
		// The first order of a pool may confirm the count that it starts with.
		if p.hasOrder[pool] {
			p.duplicated++
		}
		p.hasOrder[pool] = true
		return
	}
	p.hasOrder[pool] = true
	if direction*p.lastDirection[pool] < 0 {
		p.directionChanges++
	}
	p.lastDirection[pool] = direction
	state.ordered = order.Count
}

// Lookup implements hosting.Orders.
func (p *orderPlatform) Lookup(ctx context.Context, id string) (hosting.Order, error) {
	if fails, _ := p.drawLoss(); fails {
		return hosting.Order{}, lostReply("order lookup")
	}
	return p.orders.Lookup(ctx, id)
}

// lossyTable is the platform's table with lost replies of transactions.
type lossyTable struct {
	*memory.Table
	platform *orderPlatform
}

// Commit implements hosting.Table.
func (t *lossyTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	fails, effect := t.platform.drawLoss()
	if !effect {
		return hosting.TxnResult{}, lostReply("table commit")
	}
	result, err := t.Table.Commit(ctx, txn)
	if fails && err == nil {
		return hosting.TxnResult{}, lostReply("table commit")
	}
	return result, err
}
