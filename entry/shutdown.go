package entry

import (
	"context"
	"time"
)

// drainCheckInterval is the time between two looks for requests and groups that are still in progress.
const drainCheckInterval = 20 * time.Millisecond

// Drain makes the entry refuse new requests and returns when those in progress have ended and all completed groups are
// durable or ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	e.Leave()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		requests, groups := e.InProgress()
		if requests == 0 && groups == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
