package hosting

import "context"

// Order asks for a number of upstreams of one kind in one data centre.
type Order struct {
	// ID identifies the order; placing an order with the same ID again has no further effect.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"`
	// Count is the total number of upstreams wanted, not a change.
	Count int `json:"count"`
	// Term is the fencing token of the role holder that placed the order.
	Term int64 `json:"term"`
}

// Orders is the interface for ordering upstreams by data centre.
type Orders interface {
	// Place places an order; it is idempotent by Order.ID. Platforms that check terms refuse an old one with KindFenced.
	Place(ctx context.Context, order Order) error
	// Lookup returns an order that took effect, or an Error of KindNotFound.
	Lookup(ctx context.Context, id string) (Order, error)
}
