package rowrelay

import (
	"context"

	"github.com/radishshelf/radishshelf/homes"
)

// regionsKey is the key of the regions of a context.
type regionsKey struct{}

// WithRegions returns a context whose calls go only through peers in the given regions, because a peer sees the rows that
// it relays.
func WithRegions(ctx context.Context, regions homes.Regions) context.Context {
	if !regions.Restricted() {
		return ctx
	}
	return context.WithValue(ctx, regionsKey{}, regions)
}

// regionsOf returns the regions of WithRegions; all without it.
func regionsOf(ctx context.Context) homes.Regions {
	regions, _ := ctx.Value(regionsKey{}).(homes.Regions)
	return regions
}
