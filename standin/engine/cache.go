package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// maxCacheEvents bounds the event log. The oldest events are discarded first; readers detect this as a gap in the
// sequence numbers.
const maxCacheEvents = 8192

// cacheEvent is the addition of a block to the prefix cache or its eviction.
type cacheEvent struct {
	at    time.Time
	seq   int64
	hash  uint64
	added bool
}

// prefixCache is an LRU cache of prefix block hashes with a log of additions and evictions.
type prefixCache struct {
	mu         sync.Mutex
	maxBlocks  int
	eventDelay time.Duration
	eventGap   int64      // every eventGap-th event is dropped when it is above 0
	recency    *list.List // the most recently used block first
	blocks     map[uint64]*list.Element
	events     []cacheEvent
	nextSeq    int64
}

func newPrefixCache(s Settings) *prefixCache {
	return &prefixCache{
		maxBlocks: s.CacheBlocks, eventDelay: s.CacheEventDelay.D(), eventGap: s.CacheEventGap,
		recency: list.New(), blocks: map[uint64]*list.Element{}, nextSeq: 1,
	}
}

// matchAndInsert returns the number of leading blocks that were cached already, and caches all blocks.
func (c *prefixCache) matchAndInsert(hashes []uint64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for i, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.recency.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.insert(hash, now)
	}
	return hits
}

// insert adds a block and evicts the least recently used one if the cache is full. The caller must hold c.mu.
func (c *prefixCache) insert(hash uint64, now time.Time) {
	if c.maxBlocks == 0 {
		return
	}
	if c.recency.Len() >= c.maxBlocks {
		last := c.recency.Back()
		evicted := c.recency.Remove(last).(uint64)
		delete(c.blocks, evicted)
		c.logEvent(evicted, false, now)
	}
	c.blocks[hash] = c.recency.PushFront(hash)
	c.logEvent(hash, true, now)
}

// logEvent appends an event to the log, unless it is one that eventGap drops. The caller must hold c.mu.
func (c *prefixCache) logEvent(hash uint64, added bool, now time.Time) {
	seq := c.nextSeq
	c.nextSeq++
	if c.eventGap > 0 && seq%c.eventGap == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{at: now, seq: seq, hash: hash, added: added})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// clear removes all blocks and events without logging evictions.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recency.Init()
	clear(c.blocks)
	c.events = nil
}

// eventsSince returns the events with a sequence number of at least after whose report delay has passed.
func (c *prefixCache) eventsSince(after int64, now time.Time) engineapi.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := engineapi.CacheEvents{First: after, Next: after, Added: []uint64{}, Removed: []uint64{}}
	for _, event := range c.events {
		if event.seq < after || now.Sub(event.at) < c.eventDelay {
			continue
		}
		out.Next = event.seq + 1
		if event.added {
			out.Added = append(out.Added, event.hash)
		} else {
			out.Removed = append(out.Removed, event.hash)
		}
	}
	return out
}
