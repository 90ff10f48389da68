package memory

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// limitedReader limits the rate of reading from source with a limiter that several readers share.
type limitedReader struct {
	ctx     context.Context
	limiter *rate.Limiter
	source  io.Reader
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p[:min(len(p), weightChunkBytes)])
	if n == 0 {
		return n, err
	}
	if waitErr := r.limiter.WaitN(r.ctx, n); waitErr != nil {
		return 0, unavailable("weight read", waitErr)
	}
	return n, err
}
