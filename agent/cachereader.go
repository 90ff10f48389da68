package agent

import (
	"context"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// maxReportedCacheEvents limits the cache events of each kind in one heartbeat. Older ones are dropped, because the
// cache contents are only a hint for routing.
const maxReportedCacheEvents = 2048

// cacheReader reads the cache events of an engine. Missed events are not recovered, because the entries expire their
// knowledge of the cache.
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
