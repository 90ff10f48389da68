package rowrelay

import (
	"context"
	"time"
)

// hungCallAge is the age from which an unfinished call counts as hung once the store has answered another call. Calls
// to a store that is 60 times slower than usual take about as long.
const hungCallAge = 300 * time.Millisecond

// attempt is one call in progress, to the store or to a peer.
type attempt struct {
	started time.Time
	cancel  context.CancelFunc
}

// beginAttempt registers a call that may take up to limit.
func (c *Client) beginAttempt(ctx context.Context, limit time.Duration) (context.Context, *attempt) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	a := &attempt{started: time.Now(), cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[a] = struct{}{}
	return ctx, a
}

func (c *Client) endAttempt(a *attempt) {
	a.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, a)
}

// cancelHungAttempts cancels calls that were sent while the store was silent. They will not be answered any more, but
// new calls are. The caller holds the lock.
func (c *Client) cancelHungAttempts(now time.Time) {
	for a := range c.inFlight {
		if now.Sub(a.started) > hungCallAge {
			a.cancel()
		}
	}
}
