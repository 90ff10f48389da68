package agent

import (
	"context"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// maxReportedCacheEvents bounds the cache events of one heartbeat; the engine's cache is only a hint for routing.
const maxReportedCacheEvents = 2048

// cacheReader follows the cache events of an engine. Missed events are not made up for, since entries let what they
// believe about the cache expire.
type cacheReader struct {
	engine engineControl
	next   int64
}

func (c *cacheReader) read(ctx context.Context) engineapi.CacheEvents {
	events, err := c.engine.cacheEvents(ctx, c.next)
	if err != nil {
		return engineapi.CacheEvents{}
	}
	c.next = events.Next
	events.Added = lastEvents(events.Added)
	events.Removed = lastEvents(events.Removed)
	return events
}

func lastEvents(hashes []uint64) []uint64 { return hashes[max(0, len(hashes)-maxReportedCacheEvents):] }
