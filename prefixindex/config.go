package prefixindex

import "time"

// Config bounds an Index.
type Config struct {
	// TTL is how long an entry is believed after it was last confirmed.
	TTL time.Duration
	// GapTTL is how long entries from before a gap in the cache events are believed; removals may have been lost.
	GapTTL time.Duration
	// MaxBlocks bounds the memory; the blocks unused for longest go first.
	MaxBlocks int
	// MaxHolders bounds the upstreams remembered for one block.
	MaxHolders int
	// MaxUpstreams bounds the upstreams remembered at all.
	MaxUpstreams int
}

// DefaultConfig returns values for an entry in front of a few hundred upstreams. 100,000 blocks take
// 17 MB of heap with one holder each and 44 MB with eight.
func DefaultConfig() Config {
	return Config{
		TTL:          5 * time.Minute,
		GapTTL:       20 * time.Second,
		MaxBlocks:    100_000,
		MaxHolders:   8,
		MaxUpstreams: 4096,
	}
}
