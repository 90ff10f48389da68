package rowrelay

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// probeInterval is the time between two probes while direct calls fail.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the probes in progress; one that hangs takes directTimeout.
	maxProbes = 4
)

// Run reads the range probe from the store at regular intervals while direct calls fail, until ctx ends. When the store
// recovers, all calls of the process may be hung; the first successful probe cancels them.
func (c *Client) Run(ctx context.Context, probe hosting.RowRange) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if c.reserveProbe() {
				go c.probe(ctx, probe)
			}
		}
	}
}

func (c *Client) reserveProbe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backoff == 0 || c.probesInFlight >= maxProbes {
		return false
	}
	c.probesInFlight++
	return true
}

// probe makes one direct call. callDirect records its result.
func (c *Client) probe(ctx context.Context, probe hosting.RowRange) {
	_, _ = callDirect(ctx, c, 0, func(ctx context.Context, r hosting.Rows) (hosting.RowPage, error) {
		return r.Range(ctx, probe)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probesInFlight--
}
