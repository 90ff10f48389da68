package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// maxCacheEvents bounds the kept events; older ones are lost, which readers see as a gap.
const maxCacheEvents = 8192

type cacheEvent struct {
	at    time.Time
	seq   int64
	hash  uint64
	added bool
}

// prefixCache is a least-recently-used set of prefix blocks with a log of what entered and left it.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	delay  time.Duration
	gap    int64
	order  *list.List
	blocks map[uint64]*list.Element
	events []cacheEvent
	next   int64
}

func newPrefixCache(s Settings) *prefixCache {
	return &prefixCache{
		limit: s.CacheBlocks, delay: s.CacheEventDelay.D(), gap: s.CacheEventGap,
		order: list.New(), blocks: map[uint64]*list.Element{}, next: 1,
	}
}

// use returns how many leading blocks were cached, and caches all of them.
func (c *prefixCache) use(hashes []uint64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for i, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.insert(hash, now)
	}
	return hits
}

func (c *prefixCache) insert(hash uint64, now time.Time) {
	if c.limit == 0 {
		return
	}
	if c.order.Len() >= c.limit {
		last := c.order.Back()
		evicted := c.order.Remove(last).(uint64)
		delete(c.blocks, evicted)
		c.log(evicted, false, now)
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.log(hash, true, now)
}

func (c *prefixCache) log(hash uint64, added bool, now time.Time) {
	seq := c.next
	c.next++
	if c.gap > 0 && seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{at: now, seq: seq, hash: hash, added: added})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
	c.events = nil
}

// since returns the events from sequence number after on that are old enough to be reported.
func (c *prefixCache) since(after int64, now time.Time) engineapi.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := engineapi.CacheEvents{First: after, Next: after, Added: []uint64{}, Removed: []uint64{}}
	for _, event := range c.events {
		if event.seq < after || now.Sub(event.at) < c.delay {
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
