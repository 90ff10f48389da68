package hosting

import (
	"context"
	"io"
)

// Weights is the rate-limited weight store.
type Weights interface {
	// Open returns the weight blob of a policy version. The caller closes it.
	Open(ctx context.Context, policy string, version int64) (io.ReadCloser, error)
}
