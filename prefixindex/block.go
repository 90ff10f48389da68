package prefixindex

import (
	"container/list"
	"time"
)

// holder is an upstream that probably has a block in its cache.
type holder struct {
	upstream *upstream
	// epoch is the epoch of the upstream when the holder was confirmed.
	epoch       int64
	confirmedAt time.Time
}

// block holds the upstreams that probably cache the block with a given hash.
type block struct {
	hash    uint64
	holders []holder
	// lruElement is the block's element in Index.lru.
	lruElement *list.Element
}

// upstream is the state of the cache events of one upstream.
type upstream struct {
	name        string
	incarnation string
	lastSeq     int64
	// epoch is incremented when the whole cache is known to be lost, which invalidates all earlier holders.
	epoch int64
	// lastGapAt is when a gap in the sequence of events was last detected.
	lastGapAt  time.Time
	lastSeenAt time.Time
}

// valid reports whether the upstream can still be expected to hold the block.
func (h holder) valid(cfg Config, now time.Time) bool {
	if h.epoch != h.upstream.epoch {
		return false
	}
	if !now.Before(h.confirmedAt.Add(cfg.TTL)) {
		return false
	}
	gap := h.upstream.lastGapAt
	return !h.confirmedAt.Before(gap) || now.Before(gap.Add(cfg.GapTTL))
}

func (b *block) find(u *upstream) int {
	for i, h := range b.holders {
		if h.upstream == u {
			return i
		}
	}
	return -1
}

// confirm adds or renews a holder. If the block already has limit holders, the one confirmed least recently is
// replaced.
func (b *block) confirm(u *upstream, limit int, now time.Time) {
	h := holder{upstream: u, epoch: u.epoch, confirmedAt: now}
	if i := b.find(u); i >= 0 {
		b.holders[i] = h
		return
	}
	if len(b.holders) < limit {
		b.holders = append(b.holders, h)
		return
	}
	oldest := 0
	for i := range b.holders {
		if b.holders[i].confirmedAt.Before(b.holders[oldest].confirmedAt) {
			oldest = i
		}
	}
	b.holders[oldest] = h
}

func (b *block) remove(u *upstream) {
	if i := b.find(u); i >= 0 {
		b.holders = append(b.holders[:i], b.holders[i+1:]...)
	}
}
