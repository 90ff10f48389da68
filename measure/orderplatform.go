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
	known  map[string]bool
	// effective counts orders with a new identity, doubled those that repeat the count in force, and turns those that
	// change the direction of the last one.
	effective int
	doubled   int
	turns     int
	last      map[ordering.Pool]int
	// ordered are the pools that had an order.
	ordered map[ordering.Pool]bool
}

func newOrderPlatform(s *Sim) *orderPlatform {
	m := memory.New(memory.Options{Now: s.Now})
	return &orderPlatform{
		sim: s, orders: m.Orders, table: m.Table, pools: map[ordering.Pool]*orderPool{}, known: map[string]bool{},
		last: map[ordering.Pool]int{}, ordered: map[ordering.Pool]bool{},
	}
}

// lose decides whether a call fails and whether it takes effect nevertheless.
func (p *orderPlatform) lose() (fails, effect bool) {
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
	fails, effect := p.lose()
	if effect {
		if err := p.orders.Place(ctx, order); err != nil {
			return err
		}
		p.take(order)
	}
	if fails {
		return lostReply("order place")
	}
	return nil
}

func (p *orderPlatform) take(order hosting.Order) {
	if p.known[order.ID] {
		return
	}
	p.known[order.ID] = true
	pool := ordering.Pool{DataCentre: order.DataCentre, Kind: order.Kind}
	state := p.pools[pool]
	p.effective++
	direction := order.Count - state.inForce
	if direction == 0 {
		// The first order of a pool may confirm the count that it starts with.
		if p.ordered[pool] {
			p.doubled++
		}
		p.ordered[pool] = true
		return
	}
	p.ordered[pool] = true
	if direction*p.last[pool] < 0 {
		p.turns++
	}
	p.last[pool] = direction
	state.inForce = order.Count
}

// Lookup implements hosting.Orders.
func (p *orderPlatform) Lookup(ctx context.Context, id string) (hosting.Order, error) {
	if fails, _ := p.lose(); fails {
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
	fails, effect := t.platform.lose()
	if !effect {
		return hosting.TxnResult{}, lostReply("table commit")
	}
	result, err := t.Table.Commit(ctx, txn)
	if fails && err == nil {
		return hosting.TxnResult{}, lostReply("table commit")
	}
	return result, err
}
