package memory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/radishshelf/radishshelf/hosting"
)

// Operations of the order service as they appear in errors.
const (
	opPlace  = "order place"
	opLookup = "order lookup"
)

// PlacedOrder is an order that took effect.
type PlacedOrder struct {
	hosting.Order
	// Received is the number of times the order arrived, so that tests can detect duplicate and unauthorized orders.
	Received int `json:"received"`
	// Terms lists the term of each arrival.
	Terms []int64 `json:"terms"`
}

// Orders accepts orders for upstreams.
type Orders struct {
	Faults FaultInjector

	mu          sync.Mutex
	checkTerms  bool
	highestTerm int64
	byID        map[string]*PlacedOrder
	ids         []string
}

func newOrders(checkTerms bool) *Orders {
	return &Orders{checkTerms: checkTerms, byID: make(map[string]*PlacedOrder)}
}

// Place implements hosting.Orders.
func (o *Orders) Place(ctx context.Context, order hosting.Order) error {
	if err := checkKey(opPlace, order.ID); err != nil {
		return err
	}
	if order.Count < 0 {
		return invalid(opPlace, "the count is negative", "order zero or more upstreams")
	}
	if err := o.Faults.beforeCall(ctx, opPlace); err != nil {
		return err
	}
	if err := o.accept(order); err != nil {
		return err
	}
	return o.Faults.afterWrite(opPlace)
}

func (o *Orders) accept(order hosting.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkTerms && order.Term < o.highestTerm {
		return &hosting.Error{
			Kind: hosting.KindFenced, Op: opPlace,
			Err:    fmt.Errorf("term %d is below %d", order.Term, o.highestTerm),
			Remedy: "stop acting; another process holds the role",
		}
	}
	o.highestTerm = max(o.highestTerm, order.Term)
	placed, ok := o.byID[order.ID]
	if !ok {
		o.byID[order.ID] = &PlacedOrder{Order: order, Received: 1, Terms: []int64{order.Term}}
		o.ids = append(o.ids, order.ID)
		return nil
	}
	if !sameOrder(placed.Order, order) {
		return &hosting.Error{
			Kind: hosting.KindConflict, Op: opPlace, Err: errors.New("order " + order.ID + " exists with other content"),
			Remedy: "use a separate ID for each order",
		}
	}
	placed.Received++
	placed.Terms = append(placed.Terms, order.Term)
	return nil
}

// sameOrder reports whether two orders are equal apart from their terms. The term may differ, because a new role holder
// completes an order of its predecessor under its own term.
func sameOrder(a, b hosting.Order) bool {
	a.Term = b.Term
	return a == b
}

// Lookup implements hosting.Orders.
func (o *Orders) Lookup(ctx context.Context, id string) (hosting.Order, error) {
	if err := o.Faults.beforeCall(ctx, opLookup); err != nil {
		return hosting.Order{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	placed, ok := o.byID[id]
	if !ok {
		return hosting.Order{}, notFound(opLookup, "order "+id)
	}
	return placed.Order, nil
}

// List returns all orders in the sequence in which they first took effect.
func (o *Orders) List() []PlacedOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders := make([]PlacedOrder, 0, len(o.ids))
	for _, id := range o.ids {
		placed := *o.byID[id]
		placed.Terms = slices.Clone(placed.Terms)
		orders = append(orders, placed)
	}
	return orders
}
