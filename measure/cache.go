package measure

import "container/list"

// prefixCache is an engine's cache of prompt blocks with least-recently-used eviction.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cachedPrefix returns the number of leading blocks of a prompt that are cached.
func (c *prefixCache) cachedPrefix(prompt []uint64) int {
	for i, hash := range prompt {
		if _, ok := c.blocks[hash]; !ok {
			return i
		}
	}
	return len(prompt)
}

// insert stores the blocks of a prompt and returns the added and the evicted ones. It visits the last block first, so
// that the end of a prompt is evicted before its beginning.
func (c *prefixCache) insert(prompt []uint64) (added, evicted []uint64) {
	for i := len(prompt) - 1; i >= 0; i-- {
		hash := prompt[i]
		if e, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		added = append(added, hash)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		evicted = append(evicted, hash)
	}
	return added, evicted
}
