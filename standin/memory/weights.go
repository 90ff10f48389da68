package memory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"
)

const opWeightOpen = "weight open"

// weightChunkBytes is the maximum size of one read from a blob. It is small so that concurrent readers share the rate
// evenly.
const weightChunkBytes = 64 << 10

// Weights is an in-memory weight store that limits the combined rate of all readers.
type Weights struct {
	Faults FaultInjector

	limiter *rate.Limiter
	mu      sync.Mutex
	blobs   map[string][]byte
}

func newWeights(bytesPerSecond int64) *Weights {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Weights{limiter: rate.NewLimiter(limit, weightChunkBytes), blobs: make(map[string][]byte)}
}

func blobName(policy string, version int64) string { return fmt.Sprintf("%s/%d", policy, version) }

// Put stores the blob of a policy version.
func (w *Weights) Put(policy string, version int64, blob []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blobs[blobName(policy, version)] = bytes.Clone(blob)
}

// Open implements hosting.Weights. Reads fail with KindUnavailable once ctx has ended.
func (w *Weights) Open(ctx context.Context, policy string, version int64) (io.ReadCloser, error) {
	if err := w.Faults.beforeCall(ctx, opWeightOpen); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	blob, ok := w.blobs[blobName(policy, version)]
	if !ok {
		return nil, notFound(opWeightOpen, "weights "+blobName(policy, version))
	}
	return io.NopCloser(&limitedReader{ctx: ctx, limiter: w.limiter, source: bytes.NewReader(blob)}), nil
}
