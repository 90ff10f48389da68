package entry

import (
	"context"
	"time"
)

// drainCheckInterval is how often Drain checks for requests and groups in progress.
const drainCheckInterval = 20 * time.Millisecond

// Drain makes the entry refuse new requests. It returns when all requests in progress have ended and all completed groups
// are durable, or when ctx ends.
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
