package rowrelay

import (
	"context"
	"time"
)

// hangAfter is the age from which a call hangs if the store has just answered another one. Calls of a store that is 60 times
// slower than usual take about as long.
const hangAfter = 300 * time.Millisecond

// attempt is one call on its way, to the store or to a peer.
type attempt struct {
	started time.Time
	cancel  context.CancelFunc
}

// begin starts a call that may take up to limit.
func (c *Client) begin(ctx context.Context, limit time.Duration) (context.Context, *attempt) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	a := &attempt{started: time.Now(), cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[a] = struct{}{}
	return ctx, a
}

func (c *Client) end(a *attempt) {
	a.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, a)
}

// endHanging ends the calls that were sent while the store was silent. Nobody answers them any more, but calls that are sent
// now are answered. The caller holds the lock.
func (c *Client) endHanging(now time.Time) {
	for a := range c.open {
		if now.Sub(a.started) > hangAfter {
			a.cancel()
		}
	}
}
