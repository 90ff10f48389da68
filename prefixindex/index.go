package prefixindex

import (
	"container/list"
	"slices"
	"time"
)

// Index maps block hashes to the upstreams that probably hold them.
type Index struct {
	cfg       Config
	blocks    map[uint64]*block
	lru       *list.List
	upstreams map[string]*upstream
}

// New returns an empty index.
func New(cfg Config) *Index {
	return &Index{cfg: cfg, blocks: make(map[uint64]*block), lru: list.New(), upstreams: make(map[string]*upstream)}
}

// RecordRouted records that a prompt with the given block hashes was sent to an upstream, which will cache it.
func (x *Index) RecordRouted(name string, hashes []uint64, now time.Time) {
	u := x.upstream(name, now)
	// The first block is used last, because later blocks cannot be matched if it is evicted before them.
	for _, hash := range slices.Backward(hashes) {
		x.block(hash).confirm(u, x.cfg.MaxHolders, now)
	}
}

// Apply applies a cache event. A repeated or out-of-order event is ignored. After a gap in the sequence, holders
// confirmed before the gap expire after Config.GapTTL. A new incarnation invalidates all earlier holders of the
// upstream.
func (x *Index) Apply(e Event, now time.Time) {
	u := x.upstream(e.Upstream, now)
	switch {
	case u.incarnation != e.Incarnation:
		if u.incarnation != "" {
			u.epoch++
		}
		u.incarnation = e.Incarnation
	case e.Seq <= u.lastSeq:
		return
	case e.Seq > u.lastSeq+1:
		u.lastGapAt = now
	}
	u.lastSeq = e.Seq
	for _, hash := range e.Added {
		x.block(hash).confirm(u, x.cfg.MaxHolders, now)
	}
	for _, hash := range e.Removed {
		x.removeHolder(hash, u)
	}
}

// RemoveUpstream removes an upstream whose cache is lost, for example after a crash, and invalidates its holders.
func (x *Index) RemoveUpstream(name string) {
	if u, ok := x.upstreams[name]; ok {
		u.epoch++
		delete(x.upstreams, name)
	}
}

// Match returns for each upstream the number of leading blocks of the prompt that it probably holds. Upstreams without
// the first block are omitted.
func (x *Index) Match(hashes []uint64, now time.Time) map[string]int {
	matched := make(map[string]int)
	var found []*block
	for i, hash := range hashes {
		b, ok := x.blocks[hash]
		if !ok {
			break
		}
		if !x.extendMatches(matched, b, i, now) {
			break
		}
		found = append(found, b)
	}
	for _, b := range slices.Backward(found) {
		x.lru.MoveToFront(b.lruElement)
	}
	return matched
}

// extendMatches increments the count of every valid holder that also holds all earlier blocks, and reports whether
// there was one. depth is the number of earlier blocks.
func (x *Index) extendMatches(matched map[string]int, b *block, depth int, now time.Time) bool {
	extended := false
	for _, h := range b.holders {
		if h.valid(x.cfg, now) && matched[h.upstream.name] == depth {
			matched[h.upstream.name] = depth + 1
			extended = true
		}
	}
	return extended
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.blocks) }

func (x *Index) block(hash uint64) *block {
	if b, ok := x.blocks[hash]; ok {
		x.lru.MoveToFront(b.lruElement)
		return b
	}
	b := &block{hash: hash}
	b.lruElement = x.lru.PushFront(b)
	x.blocks[hash] = b
	if len(x.blocks) > x.cfg.MaxBlocks {
		x.evict(x.lru.Back().Value.(*block))
	}
	return b
}

func (x *Index) evict(b *block) {
	x.lru.Remove(b.lruElement)
	delete(x.blocks, b.hash)
}

func (x *Index) removeHolder(hash uint64, u *upstream) {
	b, ok := x.blocks[hash]
	if !ok {
		return
	}
	b.remove(u)
	if len(b.holders) == 0 {
		x.evict(b)
	}
}

func (x *Index) upstream(name string, now time.Time) *upstream {
	u, ok := x.upstreams[name]
	if !ok {
		if len(x.upstreams) >= x.cfg.MaxUpstreams {
			x.evictOldestUpstream()
		}
		u = &upstream{name: name}
		x.upstreams[name] = u
	}
	u.lastSeenAt = now
	return u
}

func (x *Index) evictOldestUpstream() {
	var oldest *upstream
	for _, u := range x.upstreams {
		if oldest == nil || u.lastSeenAt.Before(oldest.lastSeenAt) || (u.lastSeenAt.Equal(oldest.lastSeenAt) && u.name < oldest.name) {
			oldest = u
		}
	}
	if oldest != nil {
		x.RemoveUpstream(oldest.name)
	}
}
