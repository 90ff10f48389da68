package measure

import (
	"context"
	"errors"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// orderPlatform models a platform that accepts orders for the pools and loses some replies. It does not check terms.
type orderPlatform struct {
	sim    *Sim
	orders *memory.Orders
	table  *memory.Table
	pools  map[ordering.Pool]*orderPool
	// seen holds the IDs of the orders that took effect.
	seen map[string]bool
	// effective counts orders with a new ID, duplicated those of them that repeat the current count of their pool, and
	// directionChanges those that reverse the direction of the previous change.
	effective        int
	duplicated       int
	directionChanges int
	lastDirection    map[ordering.Pool]int
	// hasOrder holds the pools that have received an order.
	hasOrder map[ordering.Pool]bool
}

func newOrderPlatform(s *Sim) *orderPlatform {
	m := memory.New(memory.Options{Now: s.Now})
	return &orderPlatform{
		sim: s, orders: m.Orders, table: m.Table, pools: map[ordering.Pool]*orderPool{}, seen: map[string]bool{},
		lastDirection: map[ordering.Pool]int{}, hasOrder: map[ordering.Pool]bool{},
	}
}

// drawLoss decides at random whether a call fails, and whether it takes effect.
func (p *orderPlatform) drawLoss() (fails, effect bool) {
	if p.sim.Rand.Float64() >= ordersReplyLoss {
		return false, true
	}
	return true, p.sim.Rand.Float64() < 0.5
}

func lostReply(op string) error {
	return &hosting.Error{
		Kind: hosting.KindUnknown, Op: op, Err: errors.New("the reply was lost"), Remedy: "look up the result",
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
		// The first order of a pool may repeat the count that the pool starts with.
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

// lossyTable is the platform's table; some of its transactions get no reply.
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
