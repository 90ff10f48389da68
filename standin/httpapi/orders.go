package httpapi

import (
	"context"

	"github.com/radishshelf/radishshelf/hosting"
)

type orders struct{ c *client }

// Place implements hosting.Orders.
func (o orders) Place(ctx context.Context, order hosting.Order) error {
	return o.c.callJSON(ctx, "order place", pathPlace, write, order, &empty{})
}

// Lookup implements hosting.Orders.
func (o orders) Lookup(ctx context.Context, id string) (hosting.Order, error) {
	var order hosting.Order
	err := o.c.callJSON(ctx, "order lookup", pathLookup, read, lookupRequest{ID: id}, &order)
	return order, err
}
