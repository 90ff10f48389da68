package configsync

import (
	"context"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Source reads the configuration from the table; configstore.Store implements it.
type Source interface {
	// Head returns the revision of the latest change; 0 if there was none.
	Head(ctx context.Context) (int64, error)
	// Load returns all objects including tombstones, complete up to revision through.
	Load(ctx context.Context) (objects []fleetconfig.Object, through int64, err error)
	// Since returns the changes after revision, complete up to revision through.
	Since(ctx context.Context, revision int64) (objects []fleetconfig.Object, through int64, err error)
}
