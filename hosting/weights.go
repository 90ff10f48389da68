package hosting

import (
	"context"
	"io"
)

// Weights is the rate-limited weight store.
type Weights interface {
	// Open returns a reader of the weights of a policy version. The caller must close it.
	Open(ctx context.Context, policy string, version int64) (io.ReadCloser, error)
}
