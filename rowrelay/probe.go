package rowrelay

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// probeInterval is the time between two probes of a store that does not answer.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the probes on their way; one that hangs takes directTimeout.
	maxProbes = 4
)

// Run asks for a range again and again while the direct way fails, until ctx ends. Calls of the process may all hang when
// the store comes back; the first answer to a probe ends them.
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

// probe makes one call. Its result is taken by directly.
func (c *Client) probe(ctx context.Context, probe hosting.RowRange) {
	_, _ = callDirect(ctx, c, 0, func(ctx context.Context, r hosting.Rows) (hosting.RowPage, error) {
		return r.Range(ctx, probe)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probesInFlight--
}
